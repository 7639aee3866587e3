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

/** What one gateway's part in roll-outs is made with. */
export interface GatewayRolloutsDeps {
    /** Name of this gateway, as in its registration. */
    readonly name: string;
    /** Differs from life to life. */
    readonly incarnation: string;
    readonly view: FleetView;
    readonly random: RandomSource;
    /** Share of a service's requests that an unproved version may get. */
    readonly exposureShare: number;
}

/** What one gateway has done in one roll-out. */
interface GatewayRun {
    readonly version: string;
    readonly allowance: TrialAllowance;
    readonly tally: EvidenceTally;
    /** By this gateway's own answers alone. */
    readonly ownTest: SequentialRatioTest;
    stopped: boolean;
    trialAnswers: number;
}

/**
 * One gateway's part in the roll-outs of all services: which requests go to a version on trial, what came of them, and what
 * still runs on the old version. It stops a trial by its own evidence, by the coordinator's word and while it doesn't hear the
 * store, and waits for no write.
 */
export class GatewayRollouts {
    readonly #parts: GatewayRolloutsDeps;
    readonly #runs = new Map<string, GatewayRun>();
    /** Sends under way, by service and version. */
    readonly #underWay = new Map<string, Map<string, number>>();

    constructor(parts: GatewayRolloutsDeps) {
        this.#parts = parts;
    }

    /**
     * Chooses whether a request goes to a version on trial.
     *
     * @returns groups of servers to look at one after the other; none where it is the old version's
     */
    trialServerGroups(service: string, nowMs: number): readonly (readonly RegisteredServer[])[] {
        const { view, random } = this.#parts;
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
        return isWidened ? [servers] : this.#packed(servers);
    }

    /** A request was given a server of a version on trial. */
    onTrial(service: string): void {
        this.#runs.get(service)?.allowance.onTrial();
    }

    /** A request is sent to a server. */
    onSend({ service, version = "" }: RegisteredServer): void {
        const plan = this.#parts.view.rolloutOf(service);
        if (plan !== undefined && isOpenPlan(plan)) {
            this.#runOf(plan).allowance.onSend();
        }
        this.#count(service, version, 1);
    }

    /** A send has ended. @param first - how, where it was its request's first send; `undefined` otherwise */
    onSendEnded(server: RegisteredServer, route: string, first: SendOutcome | undefined): void {
        this.#count(server.service, server.version ?? "", -1);
        const plan = this.#parts.view.rolloutOf(server.service);
        const bad = first === undefined ? undefined : classifyOutcome(first);
        if (bad === undefined || plan === undefined || !isOpenPlan(plan)) {
            return;
        }
        const run = this.#runOf(plan);
        const isNew = server.version === run.version;
        run.tally.add(route, isNew ? server.id : undefined, { sends: 1, bad: bad ? 1 : 0 });
        if (isNew) {
            run.trialAnswers++;
        }
    }

    /** @returns whether a server is of a version that is still to be proved */
    isOnTrial({ service, version }: RegisteredServer): boolean {
        const plan = this.#parts.view.rolloutOf(service);
        return plan !== undefined && isOpenPlan(plan) && resolveVersionEligibility(version, plan) === "trial";
    }

    /** @returns what this gateway's own answers say of a version; a bad one gets nothing more from here */
    evaluateOwnEvidence(plan: RolloutPlan): VersionVerdict {
        const run = this.#runOf(plan);
        const verdict = run.ownTest.evaluate(run.tally.routes);
        if (verdict.type === "bad") {
            run.stopped = true;
        }
        return verdict;
    }

    /** Sends nothing more to a version on trial. @returns whether it did until now */
    stopTrial(plan: RolloutPlan): boolean {
        const run = this.#runOf(plan);
        const wasStopped = run.stopped;
        run.stopped = true;
        return !wasStopped;
    }

    /** @returns all that this gateway has seen of a roll-out */
    createReport(plan: RolloutPlan): EvidenceReport & { readonly trialAnswers: number; } {
        const { name, incarnation } = this.#parts;
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
        for (const [version, count] of this.#underWay.get(service) ?? []) {
            if (version !== status.version && count > 0) {
                return false;
            }
        }
        return true;
    }

    /** Every gateway fills the same servers first. */
    #packed(servers: readonly RegisteredServer[]): readonly (readonly RegisteredServer[])[] {
        const byId = new Map(servers.map(server => [server.id, server]));
        const [first, second, ...more] = findOwners("trial", [...byId.keys()], maxTrialServers);
        const beginsWithSecond = this.#parts.random.next() < secondTrialServerShare;
        const ordered = beginsWithSecond ? [second, first, ...more] : [first, second, ...more];
        return ordered.flatMap(id => {
            const server = id === undefined ? undefined : byId.get(id);
            return server === undefined ? [] : [[server]];
        });
    }

    #runOf({ service, order, status }: RolloutPlan): GatewayRun {
        const version = order?.version ?? status?.version ?? "";
        const known = this.#runs.get(service);
        if (known?.version === version) {
            return known;
        }
        const { exposureShare, random } = this.#parts;
        const run: GatewayRun = {
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

    #count(service: string, version: string, change: 1 | -1): void {
        const counts = this.#underWay.get(service) ?? new Map<string, number>();
        this.#underWay.set(service, counts);
        counts.set(version, (counts.get(version) ?? 0) + change);
    }
}
