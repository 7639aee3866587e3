import { type FleetView, type RegisteredServer, type RolloutPlan, type RolloutStage } from "@galenaglade/fleet-state";
import { orderAgeReportWaitMs } from "./constants.js";
import { EvidencePool, type EvidenceReport, sumTrialCounts } from "./evidence.js";
import { type OrderAge, OrderAges } from "./orderAge.js";
import { isTimedOut, nextRolloutStep, type RolloutWrite } from "./nextRolloutStep.js";
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
    readonly sinceOrderAtMostMs: number | undefined;
    readonly capacity: number;
    readonly registered: number;
    readonly settled: number;
}

/** One gateway's account of one roll-out, from which it decides while it is the coordinator. */
export class RolloutCoordination {
    readonly version: string;
    readonly #pool = new EvidencePool();
    readonly #test = new SequentialRatioTest();
    /** This gateway's own knowledge of the order's age, and everyone's. */
    readonly #ownAge = new OrderAges();
    readonly #ages = new OrderAges();
    readonly #createdAtMs: number;
    readonly #serverSeenMs = new Map<string, number>();
    #stage: RolloutStage | undefined;
    #stageSeenMs: number;
    #sendsBeforeStage = 0;

    /** @param orderAge - what this gateway knows now of the order's age */
    constructor(version: string, { nowMs }: CoordinationTime, orderAge: OrderAge) {
        this.version = version;
        this.#ownAge.add("own", orderAge, nowMs);
        this.#ages.add("own", orderAge, nowMs);
        this.#createdAtMs = nowMs;
        this.#stageSeenMs = nowMs;
    }

    /** A gateway told what it has seen. */
    onReport(report: EvidenceReport, nowMs: number): void {
        this.#pool.add(report);
        if (report.orderAge !== undefined) {
            this.#ages.add(`${report.gateway}\n${report.life}`, report.orderAge, nowMs);
        }
    }

    /** @returns what this gateway knows by itself of the order's age */
    ownOrderAge(nowMs: number): OrderAge {
        return this.#ownAge.boundsAt(nowMs);
    }

    /**
     * @param waitsMs - how much longer this gateway leaves it to others
     * @returns whether the roll-out should have been ended by now, whoever coordinates it
     */
    isOverdue(plan: RolloutPlan, nowMs: number, waitsMs: number): boolean {
        const { order, status } = plan;
        if (order === undefined || status?.version !== order.version) {
            return false;
        }
        // By the lower bound alone: the upper one of a gateway that was cut off for long says nothing, where others know better.
        const { atLeastMs } = this.#ages.boundsAt(nowMs);
        return isTimedOut({ sinceOrderMs: atLeastMs - waitsMs }, order.allowedMs);
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
        const verdict = this.#test.evaluate(totals);
        const trialSends = totals.reduce((sum, { trial }) => sum + sumTrialCounts(trial).sends, 0);
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
            ...this.#sinceOrder(plan, time),
            sinceStageMs: nowMs - this.#stageSeenMs,
            sendsSinceStage: trialSends - this.#sendsBeforeStage,
            capacity: this.#capacity(plan.service, view, nowMs),
            registered: registered.length,
            settled: registered.filter(({ name }) => settled.has(name)).length,
            epochMs,
        };
        return { ...input, write: nextRolloutStep(input) };
    }

    /**
     * Times of day differ from host to host and may be set meanwhile, so the status's counts only where no gateway that has told
     * saw the order come, and only to end the roll-out: a version must not be widened early because a clock is ahead.
     */
    #sinceOrder(
        { status }: RolloutPlan,
        { nowMs, epochMs }: CoordinationTime,
    ): { readonly sinceOrderMs: number; readonly sinceOrderAtMostMs: number | undefined; } {
        const { atLeastMs, atMostMs } = this.#ages.boundsAt(nowMs);
        const mayBeTold = nowMs - this.#createdAtMs < orderAgeReportWaitMs;
        const byTimeOfDayMs = status?.version === this.version ? epochMs - status.startedAtEpochMs : undefined;
        return { sinceOrderMs: atLeastMs, sinceOrderAtMostMs: mayBeTold ? undefined : atMostMs ?? byTimeOfDayMs };
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
