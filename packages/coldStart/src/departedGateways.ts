import { contactTimeoutMs, departureRetentionMs } from "./constants.js";
import { type DepartureReport } from "./coldStartHeartbeat.js";

/** Gateways that left the roster; requests that they sent before may still run. */
export class DepartedGateways {
    /** Time by which each gateway has stopped sending; infinite while unknown. */
    readonly #stoppedAtMs = new Map<string, number>();

    /** Monotonic time by which each gateway has stopped sending, in milliseconds; infinite while unknown. */
    get stoppedAtMs(): ReadonlyMap<string, number> {
        return this.#stoppedAtMs;
    }

    /** Adds a gateway that is no longer in the roster. */
    add(gateway: string): void {
        this.#stoppedAtMs.set(gateway, Number.POSITIVE_INFINITY);
    }

    /**
     * Records that a majority knows the current roster. Until then, members that do not know it yet still respond to a
     * gateway that left; afterwards that gateway loses contact with a majority and stops sending.
     */
    confirmStopped(nowMs: number): void {
        for (const [gateway, stoppedAtMs] of this.#stoppedAtMs) {
            if (stoppedAtMs === Number.POSITIVE_INFINITY) {
                this.#stoppedAtMs.set(gateway, nowMs + contactTimeoutMs);
            }
            else if (nowMs > stoppedAtMs + departureRetentionMs) {
                this.#stoppedAtMs.delete(gateway);
            }
        }
    }

    /** Merges departures known to peers: a new gateway has not seen earlier ones, whose requests may still run. */
    merge(reports: readonly DepartureReport[], nowMs: number): void {
        for (const { gateway, stoppedAgoMs } of reports) {
            if (!this.#stoppedAtMs.has(gateway)) {
                this.#stoppedAtMs.set(gateway, nowMs - stoppedAgoMs);
            }
        }
    }

    /** @returns the departures to report to peers */
    createReports(nowMs: number): readonly DepartureReport[] {
        return [...this.#stoppedAtMs]
            .filter(([, stoppedAtMs]) => stoppedAtMs !== Number.POSITIVE_INFINITY)
            .map(([gateway, stoppedAtMs]) => ({ gateway, stoppedAgoMs: nowMs - stoppedAtMs }));
    }
}
