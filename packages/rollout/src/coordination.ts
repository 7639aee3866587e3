import { type FleetView, type RegisteredServer, type RolloutPlan, type RolloutStage } from "@galenaglade/fleet-state";
import { EvidencePool, type EvidenceReport, sumTrial } from "./evidence.js";
import { nextRolloutStep, type RolloutWrite } from "./rolloutMachine.js";
import { SequentialRatioTest, type VersionVerdict } from "./versionTest.js";

/** The moment of a look at a roll-out. */
export interface CoordinationTime {
    readonly nowMs: number;
    readonly epochMs: number;
}

/** What a coordinator found, with what it rests on, for its log. */
export interface CoordinationStep {
    readonly verdict: VersionVerdict;
    readonly write: RolloutWrite | undefined;
    readonly sinceOrderMs: number;
    readonly capacity: number;
    readonly registered: number;
    readonly settled: number;
}

/** One gateway's account of one roll-out, from which it decides while it is the coordinator. */
export class Coordination {
    readonly version: string;
    readonly #pool = new EvidencePool();
    readonly #test = new SequentialRatioTest();
    readonly #firstSeenMs: number;
    /** Whether the order was there before this gateway began to listen. */
    readonly #isInherited: boolean;
    readonly #serverSeenMs = new Map<string, number>();
    #stage: RolloutStage | undefined;
    #stageSeenMs: number;
    #sendsBeforeStage = 0;

    constructor(version: string, { nowMs }: CoordinationTime, isInherited: boolean) {
        this.version = version;
        this.#firstSeenMs = nowMs;
        this.#stageSeenMs = nowMs;
        this.#isInherited = isInherited;
    }

    /** A gateway told what it has seen. */
    onReport(report: EvidenceReport): void {
        this.#pool.add(report);
    }

    /** Looks at the service's servers, also while another gateway coordinates: how long they have been there counts later. */
    observe(service: string, view: FleetView, nowMs: number): void {
        for (const { id, version } of view.readyServers(service, nowMs)) {
            if (version === this.version && !this.#serverSeenMs.has(id)) {
                this.#serverSeenMs.set(id, nowMs);
            }
        }
    }

    /** @returns what to do next, by all that was told */
    step(plan: RolloutPlan, view: FleetView, time: CoordinationTime): CoordinationStep {
        const { nowMs, epochMs } = time;
        const totals = this.#pool.totals;
        const verdict = this.#test.onTotals(totals);
        const trialSends = totals.reduce((sum, { trial }) => sum + sumTrial(trial).sends, 0);
        if (plan.status?.stage !== this.#stage) {
            this.#stage = plan.status?.stage;
            this.#stageSeenMs = nowMs;
            this.#sendsBeforeStage = trialSends;
        }
        const registered = view.registeredGateways();
        const settled = this.#pool.settled;
        const input = {
            plan,
            verdict,
            sinceOrderMs: this.#sinceOrderMs(plan, time),
            sinceStageMs: nowMs - this.#stageSeenMs,
            sendsSinceStage: trialSends - this.#sendsBeforeStage,
            capacity: this.#capacity(plan.service, view, nowMs),
            registered: registered.length,
            settled: registered.filter(({ name }) => settled.has(name)).length,
            epochMs,
        };
        return { ...input, write: nextRolloutStep(input) };
    }

    /** A clock may be set meanwhile, so it counts only where this gateway didn't see the order come. */
    #sinceOrderMs({ status }: RolloutPlan, { nowMs, epochMs }: CoordinationTime): number {
        const seenMs = nowMs - this.#firstSeenMs;
        return this.#isInherited && status?.version === this.version
            ? Math.max(seenMs, epochMs - status.startedAtEpochMs)
            : seenMs;
    }

    /** Slots of the new version's warm servers over those of the others. */
    #capacity(service: string, view: FleetView, nowMs: number): number {
        let warm = 0;
        let others = 0;
        for (const server of view.readyServers(service, nowMs)) {
            if (server.version !== this.version) {
                others += server.slots;
            }
            else if (this.#isWarm(server, nowMs)) {
                warm += server.slots;
            }
        }
        return others === 0 ? warm : warm / others;
    }

    #isWarm({ id, coldRemainingMs }: RegisteredServer, nowMs: number): boolean {
        return nowMs - (this.#serverSeenMs.get(id) ?? nowMs) >= coldRemainingMs;
    }
}
