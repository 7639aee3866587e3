import { setTimeout as sleep } from "node:timers/promises";
import { harmServer } from "./harm.js";
import { type PlannedLimit } from "./limitPlan.js";
import { type PlannedLeaving, type PlannedNotices, type PlannedRest } from "./noticePlan.js";
import { type SoakWorld } from "./soakWorld.js";

/** A server names a limit for a while. */
export async function nameLimit(
    world: SoakWorld,
    { atMs, forMs, target, perSecond }: PlannedLimit,
): Promise<void> {
    await sleep(atMs);
    await harmServer(await world.pickLive(target), { limitPerSecond: perSecond }, forMs);
}

/** Servers say of themselves what a run's plan has. */
export async function giveNotices(world: SoakWorld, { rest, leaving }: PlannedNotices): Promise<void> {
    await Promise.all([
        rest === undefined ? undefined : askForRest(world, rest),
        leaving === undefined ? undefined : sayLeaving(world, leaving),
    ]);
}

/** A server turns gateways away for a while, and asks each for rest. */
async function askForRest(world: SoakWorld, { atMs, forMs, target, restSeconds }: PlannedRest): Promise<void> {
    await sleep(atMs);
    await harmServer(await world.pickLive(target), { restSeconds }, forMs);
}

/** A server says in its answers that it leaves, to its end. */
async function sayLeaving(world: SoakWorld, { atMs, target }: PlannedLeaving): Promise<void> {
    await sleep(atMs);
    const backend = await world.pickLive(target);
    await backend.trouble({ saysLeaving: true });
}
