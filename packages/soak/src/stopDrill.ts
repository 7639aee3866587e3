import { checkAtMostOnce, checkDidRunAccuracy, checkPlannedStops, checkResponseIntegrity } from "@galenaglade/history";
import { createRandomSource } from "@galenaglade/routing";
import { mergeHistories } from "@galenaglade/stand-ins";
import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { bulkTimeoutMs, startupSettleMs } from "./constants.js";
import { bulkPatienceMs, type CallerTarget, PipeliningCaller } from "./pipeliningCaller.js";
import { type SoakResult } from "./runSoak.js";
import { SoakFleet } from "./soakFleet.js";
import { type SoakSystem } from "./soakSystem.js";
import { planStopDrill, type PlannedStop, type StopDrillPlan } from "./stopDrillPlan.js";

/** Options of a stop drill. */
export interface StopDrillOptions {
    readonly system: SoakSystem;
    readonly seed: number;
    /** Directory in which each run creates a directory of its own. */
    readonly dir: string;
    /** Replaces the plan that is drawn from the seed. */
    readonly plan?: StopDrillPlan | undefined;
}

/** Required bounds of a planned stop, in milliseconds. */
const lossSlackMs = 200;
const afterGraceMs = 1_000;
const excusableSentMs = 3_000;
/** Time for the last responses after the callers stopped sending. */
const maxDrainMs = bulkPatienceMs + 1_000;

/**
 * Executes a run without faults in which gateways are stopped as planned, beside reloads and configurations, while
 * callers pipeline on kept connections until the processes are gone. Each request at each stop is checked.
 *
 * @param options - options of the run
 * @returns the result, with all violations
 */
export async function runStopDrill(options: StopDrillOptions): Promise<SoakResult> {
    const { system, seed, plan = planStopDrill(seed) } = options;
    const dir = join(options.dir, `stops-${seed}`);
    rmSync(dir, { recursive: true, force: true });
    mkdirSync(dir, { recursive: true });
    const fleet = await SoakFleet.start(system, dir, seed, undefined, plan.graceMs);
    const abort = (): void => fleet.abort();
    process.once("exit", abort);
    const random = createRandomSource(seed + 2);
    const pickTarget = (): CallerTarget | undefined => {
        const ready = fleet.edges.filter(({ inRotation }) => inRotation);
        const choice = ready.length > 0 ? ready : fleet.edges;
        return choice[random.nextInt(choice.length)]?.callerTarget;
    };
    const callers = plan.callers.map((behavior, i) =>
        new PipeliningCaller(`c${i}`, system, createRandomSource(seed + 100 + i), behavior, pickTarget)
    );
    try {
        await sleep(startupSettleMs);
        const running = callers.map(caller => caller.run());
        await Promise.all([
            ...plan.stops.map(stop => stopGateway(fleet, stop)),
            ...plan.configureAtMs.map(async atMs => {
                await sleep(atMs);
                await fleet.configure();
            }),
            sleep(plan.endAtMs),
        ]);
        callers.forEach(caller => caller.end());
        await Promise.race([Promise.all(running), sleep(maxDrainMs)]);
        const history = mergeHistories(
            fleet.backends.map(({ historyPath }) => historyPath),
            [fleet.history, ...fleet.edges.flatMap(({ histories }) => histories)],
        );
        const bounds = {
            graceMs: plan.graceMs,
            lossSlackMs,
            afterGraceMs,
            excusableSentMs,
            routeTimeoutMs: bulkTimeoutMs,
        };
        const violations = [
            ...checkPlannedStops(history, bounds),
            ...checkAtMostOnce(history),
            ...checkDidRunAccuracy(history),
            ...checkResponseIntegrity(history),
        ];
        return {
            seed,
            faults: [],
            findings: [
                ...fleet.edges.flatMap(edge => edge.findings),
                ...violations.map(({ invariant, detail }) => `${invariant}: ${detail}`),
            ],
            workspaces: false,
            rollout: undefined,
            requests: callers.reduce((sum, { sentCount }) => sum + sentCount, 0),
            served: callers.reduce((sum, { servedCount }) => sum + servedCount, 0),
            dir,
        };
    }
    finally {
        callers.forEach(caller => caller.abort());
        await fleet.close();
        process.off("exit", abort);
    }
}

async function stopGateway(
    fleet: SoakFleet,
    { atMs, target, downMs, againAfterMs, hangUpAfterMs }: PlannedStop,
): Promise<void> {
    await sleep(atMs);
    const edge = fleet.edges[target];
    if (edge === undefined) {
        return;
    }
    const signals = [
        [againAfterMs, () => edge.sendSigterm()],
        [hangUpAfterMs, () => edge.sendSighup()],
    ] as const;
    for (const [delayMs, send] of signals) {
        if (delayMs !== undefined) {
            setTimeout(send, delayMs);
        }
    }
    await edge.restart(downMs);
}
