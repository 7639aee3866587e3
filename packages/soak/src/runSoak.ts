import { type HistoryLine } from "@galenaglade/history";
import { mergeHistories } from "@galenaglade/stand-ins";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { RequestGenerator } from "./requestGenerator.js";
import { checkSoak } from "./checks.js";
import { recoveryPhaseMs, enforcesWorkspaceLimits, requestsPerSecond, services, startupSettleMs } from "./constants.js";
import { type PlannedLeavingCaller, planLeavingCallers } from "./leavingCallerPlan.js";
import { planGarbledResponses } from "./garbledResponsePlan.js";
import { planLongRequests, type PlannedLongRequest } from "./longRequestPlan.js";
import { planQueryOfDeath, type PlannedQueryOfDeath } from "./queryOfDeathPlan.js";
import { planStoreRestores } from "./storeRestorePlan.js";
import { type Fault } from "./faults.js";
import { renderLargeResponsePath } from "./requestedWork.js";
import { planPartitions } from "./partitionPlan.js";
import { planServerLimit } from "./serverLimitPlan.js";
import { planServerMetadata } from "./serverMetadataPlan.js";
import { findLeakedKeys, findLeakedKeysInFiles, findLeakedKeysInMetrics } from "./leakedKeys.js";
import { planFaults } from "./faultPlan.js";
import { planRollout } from "./rolloutPlan.js";
import { routePathPrefixes, type SoakRoute } from "./soakConfiguration.js";
import { type SoakEdge } from "./soakEdge.js";
import { runRollout } from "./soakRollout.js";
import { garbleResponses } from "./soakGarbled.js";
import { type SoakSystem } from "./soakSystem.js";
import { partitionGateways } from "./soakPartitions.js";
import { applyServerMetadata, applyServerLimit } from "./soakServerMetadata.js";
import { SoakFleet } from "./soakFleet.js";
import { monotonicNow } from "./faultWindows.js";
import { type PlannedOverload, planWorkspaces } from "./workspacePlan.js";

/** The result of a run. */
export interface SoakResult {
    readonly seed: number;
    readonly faults: readonly Fault[];
    /** Violations, one line each; empty if there is none. */
    readonly findings: readonly string[];
    /** Whether the run had workspaces, so that callers needed keys. */
    readonly workspaces: boolean;
    /** Quality and final stage of the rollout; `undefined` for a run without one. */
    readonly rollout: string | undefined;
    readonly requests: number;
    readonly served: number;
    /** Directory of the histories and logs of all processes; the command removes it if there are no findings. */
    readonly dir: string;
}

/** Options of a run. */
export interface SoakOptions {
    readonly system: SoakSystem;
    readonly seed: number;
    /** Directory in which each run creates a directory of its own. */
    readonly dir: string;
    /** Replaces the faults that are drawn from the seed. */
    readonly faults?: readonly Fault[] | undefined;
    /** Whether to partition gateways from all servers as well, as drawn from the seed. Default: no. */
    readonly cuts?: boolean | undefined;
    /** Whether to restore the store from older snapshots as well, as drawn from the seed. Default: no. */
    readonly drills?: boolean | undefined;
    /** Whether callers leave while their requests are outstanding, in every way and at any moment. */
    readonly leaves?: boolean | undefined;
    /** Whether servers also garble their responses, as drawn from the seed. Default: no. */
    readonly garbled?: boolean | undefined;
}

const routes: readonly SoakRoute[] = ["read", "read", "file", "moving"];

/**
 * Executes a run: starts all processes, generates load, injects faults, waits for recovery, and checks the guarantees.
 *
 * @param options - options of the run
 * @returns the result, with all violations
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
    const dir = join(options.dir, `seed-${options.seed}`);
    rmSync(dir, { recursive: true, force: true });
    mkdirSync(dir, { recursive: true });
    const result = await executeRun({ ...options, dir });
    return { ...result, findings: [...result.findings, ...findLeakedKeysInFiles(dir)] };
}

async function executeRun(options: SoakOptions): Promise<SoakResult> {
    const { system, seed, dir, faults = planFaults(seed) } = options;
    const { cuts = false, drills = false, leaves = false, garbled = false } = options;
    const workspaces = planWorkspaces(seed, enforcesWorkspaceLimits);
    const fleet = await SoakFleet.start(system, dir, seed, workspaces?.initial);
    const abort = (): void => fleet.abort();
    process.once("exit", abort);
    try {
        await sleep(startupSettleMs);
        const load = new LoadGenerator(
            fleet,
            createRandomSource(seed + 2),
            workspaces && new RequestGenerator(workspaces, seed),
        );
        const faultsDone = Promise.all(faults.map(async fault => {
            await sleep(fault.atMs);
            await fleet.injectFault(fault);
        }));
        const rollout = planRollout(seed, services);
        const rolloutDone = rollout === undefined
            ? Promise.resolve([])
            : sleep(rollout.atMs).then(() => runRollout(fleet, system, rollout));
        // Servers of a version that is rolled out aren't replaced: a query of death could crash all of them.
        const queryOfDeath = rollout === undefined ? planQueryOfDeath(seed, routePathPrefixes.read) : undefined;
        const queryOfDeathDone = load.sendQueriesOfDeath(queryOfDeath);
        const limit = planServerLimit(seed);
        const limitDone = limit === undefined ? Promise.resolve() : applyServerLimit(fleet, limit);
        // For the same reason, no server leaves during a rollout.
        const { backoff, leaving } = planServerMetadata(seed);
        const serverMetadataDone = applyServerMetadata(fleet, {
            backoff,
            leaving: rollout === undefined ? leaving : undefined,
        });
        const partitionsDone = partitionGateways(fleet, cuts ? planPartitions(seed) : []);
        const storeRestoresDone = Promise.all((drills ? planStoreRestores(seed) : []).map(async restore => {
            await sleep(restore.atMs);
            await fleet.restoreStore(restore);
        }));
        const workspacesDone = Promise.all([
            load.sendOverload(workspaces?.overload),
            ...(workspaces?.changes ?? []).map(async change => {
                await sleep(change.atMs);
                await fleet.changeWorkspaces(change.workspaces);
            }),
        ]);
        const unusableEntriesDone = fleet.writeUnusableEntries(seed);
        const longRequestsDone = load.sendLongRequests(planLongRequests(seed));
        const leavingCallersDone = load.sendAndLeave(leaves ? planLeavingCallers(seed) : []);
        const garbledDone = garbled
            ? garbleResponses(fleet, system, seed, planGarbledResponses(seed))
            : Promise.resolve();
        const allDone = Promise.all([
            faultsDone,
            rolloutDone,
            queryOfDeathDone,
            limitDone,
            serverMetadataDone,
            partitionsDone,
            storeRestoresDone,
            workspacesDone,
            unusableEntriesDone,
            longRequestsDone,
            leavingCallersDone,
            garbledDone,
        ]);
        const [endedAtMs, [, rolloutFindings]] = await Promise.all([load.run(allDone), allDone]);
        const history = mergeHistories(
            fleet.backends.map(({ historyPath }) => historyPath),
            [fleet.history, ...fleet.edges.flatMap(({ histories }) => histories)],
        );
        const findings = checkSoak({
            history,
            faultWindows: fleet.faultWindows,
            edges: fleet.edges,
            serviceOf: new Map(fleet.backends.map(({ info }) => [info.id, info.service])),
            findings: [
                ...rolloutFindings,
                ...fleet.edges.flatMap(edge => edge.findings),
                ...findLeakedKeys("the history", JSON.stringify(history)),
                ...await findLeakedKeysInMetrics(fleet),
            ],
            endedAtMs,
        });
        const outcomes = fleet.edges.flatMap(edge => edge.outcomes);
        const served = outcomes.filter(({ outcome }) => outcome.status === 200).length;
        return {
            seed,
            faults,
            findings,
            workspaces: workspaces !== undefined,
            rollout: rollout && `${rollout.isBad ? "bad" : "sound"} ${findRolloutStage(history)}`,
            requests: outcomes.length,
            served,
            dir,
        };
    }
    finally {
        await fleet.close();
        process.off("exit", abort);
    }
}

function findRolloutStage(history: readonly HistoryLine[]): string {
    const end = history.find(line => line.type === "rolloutEnded");
    return end?.type === "rolloutEnded" ? end.stage : "open";
}

/** Generates the callers' load on all gateways. */
class LoadGenerator {
    readonly #fleet: SoakFleet;
    readonly #random: RandomSource;
    /** `undefined` in a run without workspaces. */
    readonly #requestGenerator: RequestGenerator | undefined;
    readonly #pending = new Set<Promise<void>>();
    #sent = 0;

    constructor(fleet: SoakFleet, random: RandomSource, requestGenerator: RequestGenerator | undefined) {
        this.#fleet = fleet;
        this.#random = random;
        this.#requestGenerator = requestGenerator;
    }

    /**
     * Sends requests until the recovery phase after the last fault has ended, then waits for the remaining responses.
     * Processes start slowly on a busy machine: by the clock alone, the recovery phase could end before the last fault.
     *
     * @param faultsDone - settles when the last fault has ended
     * @returns when it stopped sending, on the monotonic clock
     */
    async run(faultsDone: Promise<unknown>): Promise<number> {
        let untilMs = Infinity;
        const onFaultsDone = (): void => {
            untilMs = monotonicNow() + recoveryPhaseMs;
        };
        faultsDone.then(onFaultsDone, onFaultsDone);
        while (monotonicNow() < untilMs) {
            const { loadFactor, earlyDisconnectShare } = this.#fleet.callerBehavior;
            this.#send(this.#random.next() < earlyDisconnectShare);
            await sleep(this.#random.next() * 2_000 / (requestsPerSecond * loadFactor));
        }
        const stoppedAtMs = monotonicNow();
        await Promise.all(this.#pending);
        return stoppedAtMs;
    }

    /** Sends the run's query of death at each of its planned times. */
    async sendQueriesOfDeath(plan: PlannedQueryOfDeath | undefined): Promise<void> {
        await Promise.all((plan?.sendTimesMs ?? []).map(async (atMs, i) => {
            await sleep(atMs);
            const path = plan?.path;
            const key = this.#fleet.workspaces.flatMap(({ keys }) => keys)[0];
            const credentials = key && { key, claimedWorkspace: undefined };
            const request = {
                requestId: `deadly${i}`,
                route: "read",
                disconnectsEarly: false,
                credentials,
                path,
                contentId: path,
            } as const;
            await this.#pickEdge().caller?.send(request);
        }));
    }

    /**
     * Sends requests that exceed a workspace's limit. Selects gateways round-robin, so that the run's other random
     * choices stay the same.
     */
    async sendOverload(plan: PlannedOverload | undefined): Promise<void> {
        if (plan === undefined) {
            return;
        }
        const { atMs, durationMs, perSecond, key } = plan;
        await sleep(atMs);
        const untilMs = monotonicNow() + durationMs;
        for (let i = 1; monotonicNow() < untilMs; i++) {
            const credentials = { key, claimedWorkspace: undefined };
            const edges = this.#findEdges();
            const caller = edges[i % edges.length]?.caller;
            if (caller !== undefined) {
                this.#track(
                    caller.send({
                        requestId: `over${i}`,
                        route: "read",
                        disconnectsEarly: false,
                        credentials,
                    }),
                );
            }
            await sleep(1_000 / perSecond);
        }
    }

    /** Sends long requests and the ones behind them. Selects gateways round-robin, as for an overload. */
    async sendLongRequests(plan: readonly PlannedLongRequest[]): Promise<void> {
        await Promise.all(plan.map(async (planned, i) => {
            await sleep(planned.atMs);
            const edges = this.#findEdges();
            const key = this.#fleet.workspaces.flatMap(({ keys }) => keys)[0];
            const credentials = key && { key, claimedWorkspace: undefined };
            await edges[i % edges.length]?.caller?.sendLong(`long${i}`, planned, credentials);
        }));
    }

    /** Sends the requests of callers that leave. Selects gateways round-robin, as for an overload. */
    async sendAndLeave(plan: readonly PlannedLeavingCaller[]): Promise<void> {
        await Promise.all(plan.map(async (planned, i) => {
            await sleep(planned.atMs);
            const edges = this.#findEdges();
            const key = this.#fleet.workspaces.flatMap(({ keys }) => keys)[0];
            const credentials = key && { key, claimedWorkspace: undefined };
            await edges[i % edges.length]?.caller?.sendAndLeave(`gone${i}`, planned, credentials);
        }));
    }

    #send(disconnectsEarly: boolean): void {
        const caller = this.#pickEdge().caller;
        const defaultRoute = routes[this.#random.nextInt(routes.length)] ?? "read";
        const { credentials, route = defaultRoute, responseBytes = 0 } =
            this.#requestGenerator?.next(this.#fleet.workspaces) ?? {};
        if (caller === undefined) {
            return;
        }
        const requestId = `r${++this.#sent}`;
        const path = route === "large" ? renderLargeResponsePath(requestId, responseBytes) : undefined;
        this.#track(
            caller.send({ requestId, route, disconnectsEarly, credentials, path }),
        );
    }

    #track(sending: Promise<void>): void {
        const done = sending.finally(() => this.#pending.delete(done));
        this.#pending.add(done);
    }

    /** @returns the gateways that the balancer sends to: those that are ready, or all if none is */
    #findEdges(): readonly SoakEdge[] {
        const ready = this.#fleet.edges.filter(({ inRotation }) => inRotation);
        return ready.length > 0 ? ready : this.#fleet.edges;
    }

    #pickEdge(): SoakEdge {
        const choice = this.#findEdges();
        const edge = choice[this.#random.nextInt(choice.length)];
        if (edge === undefined) {
            throw new Error("no gateway has been started");
        }
        return edge;
    }
}
