import { setTimeout as sleep } from "node:timers/promises";
import { injectServerFaults } from "./faultInjection.js";
import { type PlannedServerLimit } from "./serverLimitPlan.js";
import { type PlannedLeaving, type PlannedServerMetadata, type PlannedBackoff } from "./serverMetadataPlan.js";
import { type SoakFleet } from "./soakFleet.js";

/** A server names a limit for a while. */
export async function applyServerLimit(
    world: SoakFleet,
    { atMs, durationMs, target, perSecond }: PlannedServerLimit,
): Promise<void> {
    await sleep(atMs);
    await injectServerFaults(await world.pickLiveBackend(target), { limitPerSecond: perSecond }, durationMs);
}

/** Servers say of themselves what a run's plan has. */
export async function applyServerMetadata(
    world: SoakFleet,
    { backoff, leaving }: PlannedServerMetadata,
): Promise<void> {
    await Promise.all([
        backoff === undefined ? undefined : askForRest(world, backoff),
        leaving === undefined ? undefined : sayLeaving(world, leaving),
    ]);
}

/** A server turns gateways away for a while, and asks each for rest. */
async function askForRest(
    world: SoakFleet,
    { atMs, durationMs: forMs, target, backoffSeconds }: PlannedBackoff,
): Promise<void> {
    await sleep(atMs);
    await injectServerFaults(await world.pickLiveBackend(target), { restSeconds: backoffSeconds }, forMs);
}

/** A server says in its answers that it leaves, to its end. */
async function sayLeaving(world: SoakFleet, { atMs, target }: PlannedLeaving): Promise<void> {
    await sleep(atMs);
    const backend = await world.pickLiveBackend(target);
    await backend.injectFaults({ saysLeaving: true });
}
