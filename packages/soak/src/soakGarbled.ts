import { createRandomSource } from "@galenaglade/routing";
import { setTimeout as sleep } from "node:timers/promises";
import { initialServerVersion, services } from "./constants.js";
import { injectServerFaults } from "./faultInjection.js";
import { type GarbledResponsePlan, type PlannedGarbling } from "./garbledResponsePlan.js";
import { bulkPatienceMs, type CallerTarget, PipeliningCaller } from "./pipeliningCaller.js";
import { type CallerCredentials } from "./requestGenerator.js";
import { type SoakFleet } from "./soakFleet.js";
import { type SoakSystem } from "./soakSystem.js";

/** Time for the last responses after the callers stopped sending, in milliseconds. */
const maxDrainMs = bulkPatienceMs + 1_000;
/** Offset of the callers' seeds from the run's. */
const callerSeedOffset = 200;

/** Lets servers garble their responses as planned, under callers that pipeline on kept connections. */
export async function garbleResponses(
    fleet: SoakFleet,
    system: SoakSystem,
    seed: number,
    { garblings, faults, callers: behaviors }: GarbledResponsePlan,
): Promise<void> {
    const callers = behaviors.map((behavior, i) => {
        const random = createRandomSource(seed + callerSeedOffset + i);
        const pickTarget = (): CallerTarget | undefined => pickCallerTarget(fleet, random.nextInt(fleet.edges.length));
        return new PipeliningCaller(`g${i}`, system, random, behavior, pickTarget, () => findCredentials(fleet));
    });
    const running = Promise.all(callers.map(caller => caller.run()));
    try {
        await Promise.all([
            ...garblings.map(each => garble(fleet, each)),
            ...faults.map(async fault => {
                await sleep(fault.atMs);
                await fleet.injectFault(fault);
            }),
        ]);
        callers.forEach(caller => caller.end());
        await Promise.race([running, sleep(maxDrainMs)]);
    }
    finally {
        callers.forEach(caller => caller.abort());
    }
}

async function garble(fleet: SoakFleet, { atMs, durationMs, target, garbling }: PlannedGarbling): Promise<void> {
    await sleep(atMs);
    // A version that is rolled out isn't garbled, so that the verdict on it stays the planned one.
    const candidates = services.flatMap(service => fleet.findLiveBackends(service, initialServerVersion));
    const backend = candidates[target % candidates.length];
    if (backend !== undefined) {
        await injectServerFaults(backend, { garbling }, durationMs);
    }
}

function pickCallerTarget({ edges }: SoakFleet, number: number): CallerTarget | undefined {
    const ready = edges.filter(({ inRotation }) => inRotation);
    const choice = ready.length > 0 ? ready : edges;
    return choice[number % choice.length]?.callerTarget;
}

function findCredentials({ workspaces }: SoakFleet): CallerCredentials | undefined {
    const key = workspaces.flatMap(({ keys }) => keys)[0];
    return key && { key, claimedWorkspace: undefined };
}
