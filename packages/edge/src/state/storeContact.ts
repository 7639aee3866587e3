import { type Failure } from "@galenaglade/errors";
import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type RandomSource } from "@galenaglade/routing";
import { initialStoreBackoffMs, storeProbePeriodMs } from "../constants.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type RelayResponse } from "./relayMessages.js";

/** Dependencies of {@link StoreContact}. */
export interface StoreContactDeps {
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Whether the store may be down: `suspected` after a relay failed, `lost` after a call of this gateway failed. */
export type StoreOutage = "none" | "suspected" | "lost";

/** Tracks contact with the store, direct or through a relay, and logs when the store is lost and reached again. */
export class StoreContact {
    readonly #deps: StoreContactDeps;
    #failureCount = 0;
    #lastFailureAtMs = -Infinity;
    #outage: StoreOutage = "none";
    /** When a relay or check first indicated an outage; it counts as one only once a call of this gateway fails. */
    #suspectedSinceMs: number | undefined;

    constructor(deps: StoreContactDeps) {
        this.#deps = deps;
    }

    get outage(): StoreOutage {
        return this.#outage;
    }

    /** Monotonic time of the last failed call, in milliseconds. */
    get lastFailureAtMs(): number {
        return this.#lastFailureAtMs;
    }

    /** Records that the store answered a call. */
    onCallSucceeded(call: string): void {
        const { view, metrics, clock } = this.#deps;
        metrics.onStoreCall(call, "answered");
        this.#onContact(view.onStoreContact(clock.monotonicMs()));
    }

    /** Records the relay's contact with the store from its response. */
    onRelayResponse(
        { ageMs, currentAgeMs, heardForMs }: Pick<RelayResponse, "ageMs" | "currentAgeMs" | "heardForMs">,
    ): void {
        const { view, clock } = this.#deps;
        const nowMs = clock.monotonicMs();
        this.#onContact(view.onStoreContact(nowMs, ageMs));
        if (currentAgeMs !== undefined) {
            view.markCurrentAsOf(nowMs - currentAgeMs);
        }
        if (heardForMs !== undefined) {
            view.onPeerStoreContact(heardForMs, nowMs);
        }
    }

    /** Records that the store may be down since a point in time. */
    onSuspected(sinceMs: number): void {
        this.#suspectedSinceMs ??= sinceMs;
    }

    /** Records that a relay didn't respond, or doesn't reach the store. */
    onRelayFailed(nowMs: number): void {
        this.onSuspected(nowMs);
        this.#outage = this.#outage === "lost" ? "lost" : "suspected";
    }

    /** Records that the store answered a probe, so it can be called. @returns whether it had been lost */
    onProbeSucceeded(): boolean {
        const wasLost = this.#outage === "lost";
        this.#outage = "none";
        return wasLost;
    }

    /**
     * Records that a call of the store failed.
     *
     * @returns the back-off before the next call in milliseconds
     */
    onCallFailed(call: string, failure: Failure, startedAtMs: number): number {
        const { view, clock, random, log, metrics } = this.#deps;
        metrics.onStoreCall(call, failure.kind);
        // After a timeout, the store may have been down since the call began; a refusal shows an outage from now on.
        const sinceMs = failure.kind === "storeOutcomeUnknown" ? startedAtMs : clock.monotonicMs();
        view.onStoreCallFailed(Math.min(sinceMs, this.#suspectedSinceMs ?? sinceMs));
        if (this.#failureCount === 0) {
            log.log("warn", "storeLost", { call, kind: failure.kind, detail: failure.detail });
        }
        const nowMs = clock.monotonicMs();
        const backoffMs = initialStoreBackoffMs * 2 ** this.#failureCount * (1 + random.next()) / 2;
        this.#failureCount++;
        this.#lastFailureAtMs = nowMs;
        this.#outage = "lost";
        const pauseMs = Math.min(backoffMs, Math.max(0, startedAtMs + storeProbePeriodMs - nowMs));
        log.log("info", "storeCallFailed", {
            call,
            kind: failure.kind,
            tookMs: Math.round(nowMs - startedAtMs),
            pauseMs: Math.round(pauseMs),
            sinceStoreMs: Math.round(nowMs - view.lastStoreContactMs),
        });
        return pauseMs;
    }

    #onContact(awayMs: number | undefined): void {
        if (this.#failureCount > 0) {
            this.#deps.log.log("info", "storeRegained", { failedCalls: this.#failureCount, awayMs });
        }
        this.#failureCount = 0;
        this.#outage = "none";
        this.#suspectedSinceMs = undefined;
    }
}
