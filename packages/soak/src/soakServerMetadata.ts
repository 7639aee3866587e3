import { setTimeout as sleep } from "node:timers/promises";
import { injectServerFaults } from "./faultInjection.js";
import { type PlannedServerLimit } from "./serverLimitPlan.js";
import { type PlannedLeaving, type PlannedServerMetadata, type PlannedBackoff } from "./serverMetadataPlan.js";
import { type SoakFleet } from "./soakFleet.js";

/** Lets a server advertise a planned rate limit. */
export async function applyServerLimit(
    fleet: SoakFleet,
    { atMs, durationMs, target, perSecond }: PlannedServerLimit,
): Promise<void> {
    await sleep(atMs);
    await injectServerFaults(await fleet.pickLiveBackend(target), { limitPerSecond: perSecond }, durationMs);
}

/** Lets servers send the planned response metadata. */
export async function applyServerMetadata(
    fleet: SoakFleet,
    { backoff, leaving }: PlannedServerMetadata,
): Promise<void> {
    await Promise.all([
        backoff === undefined ? undefined : injectBackoff(fleet, backoff),
        leaving === undefined ? undefined : injectLeaving(fleet, leaving),
    ]);
}

/** Lets a server reject all requests for some time and ask each gateway to back off. */
async function injectBackoff(
    fleet: SoakFleet,
    { atMs, durationMs, target, backoffSeconds }: PlannedBackoff,
): Promise<void> {
    await sleep(atMs);
    await injectServerFaults(await fleet.pickLiveBackend(target), { restSeconds: backoffSeconds }, durationMs);
}

/** Lets a server announce in its responses that it is leaving, until it ends. */
async function injectLeaving(fleet: SoakFleet, { atMs, target }: PlannedLeaving): Promise<void> {
    await sleep(atMs);
    const backend = await fleet.pickLiveBackend(target);
    await backend.injectFaults({ saysLeaving: true });
}
