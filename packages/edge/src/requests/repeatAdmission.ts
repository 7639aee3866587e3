import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type RepeatBudget, type RepeatPurpose } from "@galenaglade/placement";
import { type LogFields } from "@galenaglade/telemetry";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";

/** Dependencies of a {@link RepeatAdmission}. */
export interface RepeatAdmissionDeps {
    readonly budget: RepeatBudget;
    readonly view: FleetView;
    readonly clock: Clock;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Refusals for one service since its budget was last available. */
interface Refusals {
    readonly sinceMs: number;
    readonly latestAtMs: number;
    readonly loggedAtMs: number;
    /** Refusals since the last log line. */
    readonly unlogged: number;
}

/** Minimum interval between two log lines about one service's spent budget, in milliseconds. */
const spentLogPeriodMs = 1_000;

/** Time without a refusal after which a service's budget counts as available again, in milliseconds. */
const spentPauseMs = 2_000;

/** The one admission that every repeat of a request passes, whatever causes it, before it is sent. */
export class RepeatAdmission {
    readonly #deps: RepeatAdmissionDeps;
    readonly #refusals = new Map<string, Refusals>();

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

    /** @returns whether {@link take} would allow a repeat now; a refusal is counted like one of that method */
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
        const before = this.#refusals.get(service);
        const isFirst = before === undefined || nowMs - before.latestAtMs >= spentPauseMs;
        const { sinceMs, loggedAtMs, unlogged } = isFirst
            ? { sinceMs: nowMs, loggedAtMs: -Infinity, unlogged: 0 }
            : before;
        const isLogged = nowMs - loggedAtMs >= spentLogPeriodMs;
        this.#refusals.set(service, {
            sinceMs,
            latestAtMs: nowMs,
            loggedAtMs: isLogged ? nowMs : loggedAtMs,
            unlogged: isLogged ? 0 : unlogged + 1,
        });
        if (!isLogged) {
            return;
        }
        log.log("warn", "retryBudgetSpent", {
            service,
            purpose,
            refused: unlogged + 1,
            spentForMs: Math.round(nowMs - sinceMs),
            ...this.describe(service),
        });
    }

    #gateways(): readonly string[] {
        const { view, clock } = this.#deps;
        return view.gatewayNames(clock.monotonicMs());
    }
}
