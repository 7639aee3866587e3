import { setTimeout as sleep } from "node:timers/promises";
import {
    initialServerVersion,
    rolloutServerVersion,
    rollbackGraceMs,
    rolloutTimeoutMs,
    rolloutPollPeriodMs,
    rolloutServerCount,
    convergenceMs,
} from "./constants.js";
import { type PlannedRollout } from "./rolloutPlan.js";
import { type SoakSystem } from "./soakSystem.js";
import { type SoakFleet } from "./soakFleet.js";
import { zoneAt } from "./soakZones.js";
import { monotonicNow } from "./faultWindows.js";

/**
 * Orders a rollout as the operator does, waits for its end, and removes the servers that are no longer needed: those
 * of the old version immediately after it completed, those of the new version some seconds after it was rolled back.
 *
 * @param fleet - the processes of the run
 * @param system - encodes the order
 * @param rollout - the planned rollout
 * @returns violations, one line each; empty if it ended in time
 */
export async function runRollout(
    fleet: SoakFleet,
    system: SoakSystem,
    { service, isBad }: PlannedRollout,
): Promise<readonly string[]> {
    const newServers = await Promise.all(Array.from(
        { length: rolloutServerCount },
        (_, i) => fleet.startBackend(service, zoneAt(i), true, rolloutServerVersion, { fails: isBad }),
    ));
    const servers = newServers.map(({ info }) => info.id);
    await fleet.writeAsOperator(
        system.renderRollout({ service, version: rolloutServerVersion, allowedMs: rolloutTimeoutMs }),
    );
    fleet.history.record({ type: "rolloutOrdered", service, version: rolloutServerVersion, servers, isBad });
    await Promise.all(newServers.map(backend => fleet.registerBackend(backend, true)));
    const stage = await waitForFinalStage(fleet, service);
    if (stage === undefined) {
        return [`rollout: the roll-out of ${service} did not end in time`];
    }
    fleet.history.record({ type: "rolloutEnded", service, version: rolloutServerVersion, stage });
    if (stage === "rolledBack") {
        await sleep(rollbackGraceMs);
    }
    const ended = stage === "completed" ? initialServerVersion : rolloutServerVersion;
    await fleet.killBackends(fleet.findLiveBackends(service, ended));
    return [];
}

/** @returns the final stage, or `undefined` if there is none when the time limit and some tolerance are over */
async function waitForFinalStage(fleet: SoakFleet, service: string): Promise<"completed" | "rolledBack" | undefined> {
    const untilMs = monotonicNow() + rolloutTimeoutMs + convergenceMs;
    while (monotonicNow() < untilMs) {
        const stage = await fleet.readRolloutStage(service);
        if (stage === "completed" || stage === "rolledBack") {
            return stage;
        }
        await sleep(rolloutPollPeriodMs);
    }
    return undefined;
}
