import { type Failure } from "@galenaglade/errors";
import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock } from "@galenaglade/http-parts";
import { type RandomSource } from "@galenaglade/routing";
import { initialStoreBackoffMs, storeProbePeriodMs } from "../constants.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type RelayResponse } from "./relayMessages.js";

/** What contact with the store is kept with. */
export interface StoreContactDeps {
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** Whether the store may be away: a relay has said so, or a call of this gateway's own has failed. */
export type StoreOutage = "none" | "suspected" | "lost";

/** Keeps account of whether the store is heard, by itself or through another gateway, and says when it is lost and found. */
export class StoreContact {
    readonly #parts: StoreContactDeps;
    #failures = 0;
    #failedAtMs = -Infinity;
    #doubt: StoreOutage = "none";
    /** When a relay or a check first said that the store may be away; only a failed call of one's own makes it so. */
    #suspectedSinceMs: number | undefined;

    constructor(parts: StoreContactDeps) {
        this.#parts = parts;
    }

    get outage(): StoreOutage {
        return this.#doubt;
    }

    /** When a call last failed. */
    get lastFailureAtMs(): number {
        return this.#failedAtMs;
    }

    /** A call of the store was answered. */
    onCallSucceeded(call: string): void {
        const { view, metrics, clock } = this.#parts;
        metrics.onStoreCall(call, "answered");
        this.#onHeard(view.onStoreContact(clock.monotonicMs()));
    }

    /** Another gateway passed on what it heard of the store. */
    onRelayResponse(
        { ageMs, currentAgeMs, heardForMs }: Pick<RelayResponse, "ageMs" | "currentAgeMs" | "heardForMs">,
    ): void {
        const { view, clock } = this.#parts;
        const nowMs = clock.monotonicMs();
        this.#onHeard(view.onStoreContact(nowMs, ageMs));
        if (currentAgeMs !== undefined) {
            view.markCurrentAsOf(nowMs - currentAgeMs);
        }
        if (heardForMs !== undefined) {
            view.onPeerStoreContact(heardForMs, nowMs);
        }
    }

    /** The store may be away since then. */
    onSuspected(sinceMs: number): void {
        this.#suspectedSinceMs ??= sinceMs;
    }

    /** A relay didn't answer, or said that it doesn't reach the store. */
    onRelayFailed(nowMs: number): void {
        this.onSuspected(nowMs);
        this.#doubt = this.#doubt === "lost" ? "lost" : "suspected";
    }

    /** A probe was answered: the store may be called. @returns whether it had been lost */
    onProbeSucceeded(): boolean {
        const wasLost = this.#doubt === "lost";
        this.#doubt = "none";
        return wasLost;
    }

    /**
     * A call of the store has failed.
     *
     * @returns how long to pause before the next one, in milliseconds
     */
    onCallFailed(call: string, failure: Failure, startedAtMs: number): number {
        const { view, clock, random, log, metrics } = this.#parts;
        metrics.onStoreCall(call, failure.kind);
        // A call that got no answer may have been lost since it began; one that was refused was refused just now.
        const sinceMs = failure.kind === "storeOutcomeUnknown" ? startedAtMs : clock.monotonicMs();
        view.onStoreCallFailed(Math.min(sinceMs, this.#suspectedSinceMs ?? sinceMs));
        if (this.#failures === 0) {
            log.log("warn", "storeLost", { call, kind: failure.kind, detail: failure.detail });
        }
        const nowMs = clock.monotonicMs();
        const growingMs = initialStoreBackoffMs * 2 ** this.#failures * (1 + random.next()) / 2;
        this.#failures++;
        this.#failedAtMs = nowMs;
        this.#doubt = "lost";
        const pauseMs = Math.min(growingMs, Math.max(0, startedAtMs + storeProbePeriodMs - nowMs));
        log.log("info", "storeCallFailed", {
            call,
            kind: failure.kind,
            tookMs: Math.round(nowMs - startedAtMs),
            pauseMs: Math.round(pauseMs),
            sinceStoreMs: Math.round(nowMs - view.lastStoreContactMs),
        });
        return pauseMs;
    }

    #onHeard(awayMs: number | undefined): void {
        if (this.#failures > 0) {
            this.#parts.log.log("info", "storeRegained", { failedCalls: this.#failures, awayMs });
        }
        this.#failures = 0;
        this.#doubt = "none";
        this.#suspectedSinceMs = undefined;
    }
}
