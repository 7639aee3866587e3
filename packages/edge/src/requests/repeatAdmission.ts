import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type RepeatBudget, type RepeatPurpose } from "@galenaglade/placement";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type LogFields } from "@galenaglade/telemetry";

/** Dependencies of a {@link RepeatAdmission}. */
export interface RepeatAdmissionDeps {
    readonly budget: RepeatBudget;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Refusals for one service since they were last logged. */
interface Refusals {
    readonly sinceMs: number;
    readonly loggedAtMs: number;
    readonly count: number;
}

/** Minimum interval between two log lines about one service's spent budget, in milliseconds. */
const spentLogPeriodMs = 1_000;

/** Time without a refusal after which a service's budget counts as available again, in milliseconds. */
const spentPauseMs = 2_000;

/** The one admission that every repeat of a request passes, whatever causes it, before it is sent. */
export class RepeatAdmission {
    readonly #deps: RepeatAdmissionDeps;
    readonly #refusals = new Map<string, Refusals>();
    readonly #lastRefusedAtMs = new Map<string, number>();

    constructor(deps: RepeatAdmissionDeps) {
        this.#deps = deps;
        deps.metrics.observeRepeats(() => {
            const { budget, clock } = deps;
            return budget.services().map(service => ({
                service,
                ...budget.describe(service, this.#gateways(), clock.monotonicMs()),
            }));
        });
    }

    /** Records the arrival of a caller's request for the service. */
    onRequest(service: string): void {
        this.#deps.budget.onRequest(service);
    }

    /** Counts a repeat that takes nothing from the budget, since the sends before it have reached no server. */
    onFirstArrivalRetried(service: string): void {
        this.#deps.metrics.onRepeat(service, "retry", "notCounted");
    }

    /** @returns whether {@link take} would allow a repeat now; a refusal is counted as one of it */
    isAvailable(service: string, purpose: RepeatPurpose): boolean {
        const { budget, clock } = this.#deps;
        return this.#countRefused(
            budget.isAvailable(service, purpose, this.#gateways(), clock.monotonicMs()),
            service,
            purpose,
        );
    }

    /** @returns whether the repeat may be sent; if so, it has been counted */
    take(service: string, purpose: RepeatPurpose): boolean {
        const { budget, clock, metrics } = this.#deps;
        const isTaken = budget.take(service, purpose, this.#gateways(), clock.monotonicMs());
        if (isTaken) {
            metrics.onRepeat(service, purpose, "sent");
        }
        return this.#countRefused(isTaken, service, purpose);
    }

    /** @returns log fields about the service's budget on this gateway */
    describe(service: string): LogFields {
        const { budget, clock } = this.#deps;
        const gateways = this.#gateways();
        const state = budget.describe(service, gateways, clock.monotonicMs());
        return {
            budgetLeft: Math.round(state.remaining * 100) / 100,
            requestsSinceStart: state.requests,
            repeatsSinceStart: state.repeats,
            gateways: gateways.length,
            sinceStartMs: Math.round(state.sinceStartMs),
        };
    }

    #countRefused(isAllowed: boolean, service: string, purpose: RepeatPurpose): boolean {
        if (!isAllowed) {
            this.#deps.metrics.onRepeat(service, purpose, "refused");
            this.#onRefused(service, purpose);
        }
        return isAllowed;
    }

    #onRefused(service: string, purpose: RepeatPurpose): void {
        const { clock, log } = this.#deps;
        const nowMs = clock.monotonicMs();
        const wasSpent = nowMs - (this.#lastRefusedAtMs.get(service) ?? -Infinity) < spentPauseMs;
        this.#lastRefusedAtMs.set(service, nowMs);
        const before = wasSpent ? this.#refusals.get(service) : undefined;
        const { sinceMs, loggedAtMs, count } = before ?? { sinceMs: nowMs, loggedAtMs: -Infinity, count: 0 };
        if (nowMs - loggedAtMs < spentLogPeriodMs) {
            this.#refusals.set(service, { sinceMs, loggedAtMs, count: count + 1 });
            return;
        }
        this.#refusals.set(service, { sinceMs, loggedAtMs: nowMs, count: 0 });
        log.log("warn", "retryBudgetSpent", {
            service,
            purpose,
            refused: count + 1,
            spentForMs: Math.round(nowMs - sinceMs),
            ...this.describe(service),
        });
    }

    #gateways(): readonly string[] {
        const { view, clock } = this.#deps;
        return view.gatewayNames(clock.monotonicMs());
    }
}
