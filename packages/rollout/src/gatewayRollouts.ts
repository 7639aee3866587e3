import {
    findOwners,
    type FleetView,
    isOpenPlan,
    type RegisteredServer,
    resolveVersionEligibility,
    type RolloutPlan,
} from "@galenaglade/fleet-state";
import { type RandomSource } from "@galenaglade/routing";
import { secondTrialServerShare, maxStoreContactAgeMs, maxTrialServers, widenedShare } from "./constants.js";
import { type EvidenceReport, EvidenceTally } from "./evidence.js";
import { classifyOutcome, type SendOutcome } from "./classifyOutcome.js";
import { TrialAllowance } from "./trialAllowance.js";
import { SequentialRatioTest, type VersionVerdict } from "./versionTest.js";

/** Dependencies and settings of {@link GatewayRollouts}. */
export interface GatewayRolloutsDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** Identifies this incarnation of the gateway. */
    readonly incarnation: string;
    readonly view: FleetView;
    readonly random: RandomSource;
    /** Maximum share of the requests of a service that an unproved version may get. */
    readonly exposureShare: number;
}

/** State of one rollout in this gateway. */
interface RolloutRun {
    readonly version: string;
    readonly allowance: TrialAllowance;
    readonly tally: EvidenceTally;
    /** Fed with this gateway's own evidence only. */
    readonly ownTest: SequentialRatioTest;
    stopped: boolean;
    trialAnswers: number;
}

/**
 * The part of one gateway in the rollouts of all services: it selects the requests that go to a version on trial,
 * records their outcomes, and tracks what is in flight on the old version. It stops a trial on its own evidence or on
 * the coordinator's decision, and suspends it while it does not hear from the store. None of this waits for a write to
 * the store.
 */
export class GatewayRollouts {
    readonly #deps: GatewayRolloutsDeps;
    readonly #runs = new Map<string, RolloutRun>();
    /** Sends in flight, by service and version. */
    readonly #inFlight = new Map<string, Map<string, number>>();

    constructor(deps: GatewayRolloutsDeps) {
        this.#deps = deps;
    }

    /**
     * Decides whether a request goes to a version on trial.
     *
     * @returns groups of servers to try one after the other; empty if the request goes to the old version
     */
    trialServerGroups(service: string, nowMs: number): readonly (readonly RegisteredServer[])[] {
        const { view, random } = this.#deps;
        const plan = view.rolloutOf(service);
        if (plan === undefined || !isOpenPlan(plan) || nowMs - view.lastStoreContactMs > maxStoreContactAgeMs) {
            return [];
        }
        const run = this.#runOf(plan);
        if (run.stopped) {
            return [];
        }
        const isWidened = plan.status?.stage === "widened" && plan.status.version === run.version;
        if (isWidened ? random.next() >= widenedShare : !run.allowance.hasCredit) {
            return [];
        }
        const servers = view.trialServers(service, nowMs);
        return isWidened ? [servers] : this.#groupInFillOrder(servers);
    }

    /** A request was assigned to a server of a version on trial. */
    onTrial(service: string): void {
        this.#runs.get(service)?.allowance.onTrial();
    }

    /** A request is sent to a server. */
    onSend({ service, version = "" }: RegisteredServer): void {
        const plan = this.#deps.view.rolloutOf(service);
        if (plan !== undefined && isOpenPlan(plan)) {
            this.#runOf(plan).allowance.onSend();
        }
        this.#trackInFlight(service, version, 1);
    }

    /**
     * A send has ended.
     *
     * @param firstOutcome - outcome, if it was the first send of its request; `undefined` otherwise
     */
    onSendEnded(server: RegisteredServer, route: string, firstOutcome: SendOutcome | undefined): void {
        this.#trackInFlight(server.service, server.version ?? "", -1);
        const plan = this.#deps.view.rolloutOf(server.service);
        const bad = firstOutcome === undefined ? undefined : classifyOutcome(firstOutcome);
        if (bad === undefined || plan === undefined || !isOpenPlan(plan)) {
            return;
        }
        const run = this.#runOf(plan);
        const isNewVersion = server.version === run.version;
        run.tally.add(route, isNewVersion ? server.id : undefined, { sends: 1, bad: bad ? 1 : 0 });
        if (isNewVersion) {
            run.trialAnswers++;
        }
    }

    /** @returns whether a server is of a version that is on trial */
    isOnTrial({ service, version }: RegisteredServer): boolean {
        const plan = this.#deps.view.rolloutOf(service);
        return plan !== undefined && isOpenPlan(plan) && resolveVersionEligibility(version, plan) === "trial";
    }

    /**
     * Evaluates this gateway's own evidence. If the version is bad, this gateway sends no more requests to it.
     *
     * @returns the verdict
     */
    evaluateOwnEvidence(plan: RolloutPlan): VersionVerdict {
        const run = this.#runOf(plan);
        const verdict = run.ownTest.evaluate(run.tally.routes);
        if (verdict.type === "bad") {
            run.stopped = true;
        }
        return verdict;
    }

    /**
     * Stops sending requests to a version on trial.
     *
     * @returns whether the trial was still running in this gateway
     */
    stopTrial(plan: RolloutPlan): boolean {
        const run = this.#runOf(plan);
        const wasStopped = run.stopped;
        run.stopped = true;
        return !wasStopped;
    }

    /** @returns everything that this gateway has observed of a rollout */
    createReport(plan: RolloutPlan): EvidenceReport & { readonly trialAnswers: number; } {
        const { name, incarnation } = this.#deps;
        const { version, tally, trialAnswers } = this.#runOf(plan);
        return {
            gateway: name,
            life: incarnation,
            service: plan.service,
            version,
            settled: this.#isSettled(plan),
            routes: tally.routes,
            trialAnswers,
        };
    }

    #isSettled({ service, status }: RolloutPlan): boolean {
        if (status?.stage !== "shifted") {
            return false;
        }
        for (const [version, count] of this.#inFlight.get(service) ?? []) {
            if (version !== status.version && count > 0) {
                return false;
            }
        }
        return true;
    }

    /** All gateways fill the same servers first. */
    #groupInFillOrder(servers: readonly RegisteredServer[]): readonly (readonly RegisteredServer[])[] {
        const byId = new Map(servers.map(server => [server.id, server]));
        const [first, second, ...more] = findOwners("trial", [...byId.keys()], maxTrialServers);
        const startsWithSecond = this.#deps.random.next() < secondTrialServerShare;
        const ordered = startsWithSecond ? [second, first, ...more] : [first, second, ...more];
        return ordered.flatMap(id => {
            const server = id === undefined ? undefined : byId.get(id);
            return server === undefined ? [] : [[server]];
        });
    }

    #runOf({ service, order, status }: RolloutPlan): RolloutRun {
        const version = order?.version ?? status?.version ?? "";
        const existing = this.#runs.get(service);
        if (existing?.version === version) {
            return existing;
        }
        const { exposureShare, random } = this.#deps;
        const run: RolloutRun = {
            version,
            allowance: new TrialAllowance(exposureShare, random),
            tally: new EvidenceTally(),
            ownTest: new SequentialRatioTest(),
            stopped: false,
            trialAnswers: 0,
        };
        this.#runs.set(service, run);
        return run;
    }

    #trackInFlight(service: string, version: string, change: 1 | -1): void {
        const counts = this.#inFlight.get(service) ?? new Map<string, number>();
        this.#inFlight.set(service, counts);
        counts.set(version, (counts.get(version) ?? 0) + change);
    }
}
