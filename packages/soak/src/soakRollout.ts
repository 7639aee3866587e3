import { setTimeout as sleep } from "node:timers/promises";
import {
    firstServerVersion,
    nextServerVersion,
    rollbackMs,
    rolloutAllowedMs,
    rolloutPollMs,
    rolloutServers,
    settledMs,
} from "./constants.js";
import { type PlannedRollout } from "./rolloutPlan.js";
import { type SoakSystem } from "./soakSystem.js";
import { type SoakWorld } from "./soakWorld.js";
import { zoneAt } from "./soakZones.js";
import { machineNow } from "./spans.js";

/**
 * Orders a roll-out as the operator does, and does what follows from its end: servers of the old version stop at once when it is
 * completed, those of the new one some seconds after it is rolled back.
 *
 * @param world - the processes of the run
 * @param system - renders the order
 * @param rollout - what to roll out
 * @returns one line for each thing found; empty where it ended in time
 */
export async function rollOut(
    world: SoakWorld,
    system: SoakSystem,
    { service, isBad }: PlannedRollout,
): Promise<readonly string[]> {
    const fresh = await Promise.all(Array.from(
        { length: rolloutServers },
        (_, i) => world.startBackend(service, zoneAt(i), true, nextServerVersion, { fails: isBad }),
    ));
    const servers = fresh.map(({ place }) => place.id);
    await world.operate(
        system.renderRollout({ service, version: nextServerVersion, allowedMs: rolloutAllowedMs }),
    );
    world.history.record({ type: "rolloutOrdered", service, version: nextServerVersion, servers, isBad });
    await Promise.all(fresh.map(backend => world.register(backend, true)));
    const stage = await awaitEnd(world, service);
    if (stage === undefined) {
        return [`rollout: the roll-out of ${service} has not ended in its time`];
    }
    world.history.record({ type: "rolloutEnded", service, version: nextServerVersion, stage });
    if (stage === "rolledBack") {
        await sleep(rollbackMs);
    }
    const ended = stage === "completed" ? firstServerVersion : nextServerVersion;
    await world.endServers(world.findLive(service, ended));
    return [];
}

/** @returns the final stage, or `undefined` where there was none in time and some calm seconds more */
async function awaitEnd(world: SoakWorld, service: string): Promise<"completed" | "rolledBack" | undefined> {
    const untilMs = machineNow() + rolloutAllowedMs + settledMs;
    while (machineNow() < untilMs) {
        const stage = await world.readRolloutStage(service);
        if (stage === "completed" || stage === "rolledBack") {
            return stage;
        }
        await sleep(rolloutPollMs);
    }
    return undefined;
}
