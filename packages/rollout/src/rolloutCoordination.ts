import { type FleetView, type RegisteredServer, type RolloutPlan, type RolloutStage } from "@galenaglade/fleet-state";
import { orderAgeReportWaitMs } from "./constants.js";
import { EvidencePool, type EvidenceReport, sumTrialCounts } from "./evidence.js";
import { type OrderAge, OrderAges } from "./orderAge.js";
import { isTimedOut, nextRolloutStep, type RolloutWrite } from "./nextRolloutStep.js";
import { SequentialRatioTest, type VersionVerdict } from "./versionTest.js";

/** The current time on the monotonic clock and on the wall clock, in milliseconds. */
export interface CoordinationTime {
    readonly nowMs: number;
    readonly epochMs: number;
}

/** The result of one evaluation by a coordinator, with its inputs for the log. */
export interface CoordinationStep {
    readonly verdict: VersionVerdict;
    readonly write: RolloutWrite | undefined;
    readonly sinceOrderMs: number;
    readonly sinceOrderAtMostMs: number | undefined;
    readonly capacity: number;
    readonly registered: number;
    readonly settled: number;
}

/** The state of one rollout in one gateway, from which the gateway decides while it is the coordinator. */
export class RolloutCoordination {
    readonly version: string;
    readonly #evidence = new EvidencePool();
    readonly #versionTest = new SequentialRatioTest();
    /** Bounds of the order's age that this gateway knows by itself, and those from all gateways. */
    readonly #ownAge = new OrderAges();
    readonly #combinedAge = new OrderAges();
    readonly #createdAtMs: number;
    readonly #serverFirstSeenMs = new Map<string, number>();
    #stage: RolloutStage | undefined;
    #stageFirstSeenMs: number;
    #sendsBeforeStage = 0;

    /** @param orderAge - bounds of the order's age that this gateway knows now */
    constructor(version: string, { nowMs }: CoordinationTime, orderAge: OrderAge) {
        this.version = version;
        this.#ownAge.add("own", orderAge, nowMs);
        this.#combinedAge.add("own", orderAge, nowMs);
        this.#createdAtMs = nowMs;
        this.#stageFirstSeenMs = nowMs;
    }

    /** Adds the report of a gateway. */
    onReport(report: EvidenceReport, nowMs: number): void {
        this.#evidence.add(report);
        if (report.orderAge !== undefined) {
            this.#combinedAge.add(`${report.gateway}\n${report.life}`, report.orderAge, nowMs);
        }
    }

    /** @returns bounds of the order's age that this gateway knows by itself */
    ownOrderAge(nowMs: number): OrderAge {
        return this.#ownAge.boundsAt(nowMs);
    }

    /**
     * @param delayMs - extra time that this gateway leaves to others, in milliseconds
     * @returns whether the rollout should have ended by now, whichever gateway coordinates it
     */
    isOverdue(plan: RolloutPlan, nowMs: number, delayMs: number): boolean {
        const { order, status } = plan;
        if (order === undefined || status?.version !== order.version) {
            return false;
        }
        // Uses the lower bound only: the upper bound of a gateway that was partitioned for long is far too high, and
        // others know better.
        const { atLeastMs } = this.#combinedAge.boundsAt(nowMs);
        return isTimedOut({ sinceOrderMs: atLeastMs - delayMs }, order.allowedMs);
    }

    /**
     * Records when each server of the new version was first seen, also while another gateway coordinates: their
     * warm-up is derived from it later.
     */
    observe(service: string, view: FleetView, nowMs: number): void {
        for (const { id, version } of view.readyServers(service, nowMs)) {
            if (version === this.version && !this.#serverFirstSeenMs.has(id)) {
                this.#serverFirstSeenMs.set(id, nowMs);
            }
        }
    }

    /** @returns the next step, based on all reports so far */
    step(plan: RolloutPlan, view: FleetView, time: CoordinationTime): CoordinationStep {
        const { nowMs, epochMs } = time;
        const totals = this.#evidence.totals;
        const verdict = this.#versionTest.evaluate(totals);
        const trialSends = totals.reduce((sum, { trial }) => sum + sumTrialCounts(trial).sends, 0);
        if (plan.status?.stage !== this.#stage) {
            this.#stage = plan.status?.stage;
            this.#stageFirstSeenMs = nowMs;
            this.#sendsBeforeStage = trialSends;
        }
        const registered = view.registeredGateways();
        const settled = this.#evidence.settled;
        const input = {
            plan,
            verdict,
            ...this.#orderAgeBounds(plan, time),
            sinceStageMs: nowMs - this.#stageFirstSeenMs,
            sendsSinceStage: trialSends - this.#sendsBeforeStage,
            capacity: this.#capacityRatio(plan.service, view, nowMs),
            registered: registered.length,
            settled: registered.filter(({ name }) => settled.has(name)).length,
            epochMs,
        };
        return { ...input, write: nextRolloutStep(input) };
    }

    /**
     * Wall clocks differ between hosts and may be adjusted meanwhile. So the start time in the status is used only if
     * no reporting gateway saw the order arrive, and only to end the rollout: a clock that is ahead must not widen a
     * version early.
     */
    #orderAgeBounds(
        { status }: RolloutPlan,
        { nowMs, epochMs }: CoordinationTime,
    ): { readonly sinceOrderMs: number; readonly sinceOrderAtMostMs: number | undefined; } {
        const { atLeastMs, atMostMs } = this.#combinedAge.boundsAt(nowMs);
        const awaitsReports = nowMs - this.#createdAtMs < orderAgeReportWaitMs;
        const byWallClockMs = status?.version === this.version ? epochMs - status.startedAtEpochMs : undefined;
        return { sinceOrderMs: atLeastMs, sinceOrderAtMostMs: awaitsReports ? undefined : atMostMs ?? byWallClockMs };
    }

    /** Slots of the new version's warm servers, relative to the slots of the other versions. */
    #capacityRatio(service: string, view: FleetView, nowMs: number): number {
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
        return nowMs - (this.#serverFirstSeenMs.get(id) ?? nowMs) >= coldRemainingMs;
    }
}
