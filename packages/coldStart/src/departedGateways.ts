import { contactTimeoutMs, departureRetentionMs } from "./constants.js";
import { type DepartureReport } from "./coldStartHeartbeat.js";

/** Gateways that left the roster; what they sent before may still run. */
export class DepartedGateways {
    /** With the time by which each has certainly stopped sending. */
    readonly #stoppedAtMs = new Map<string, number>();

    /** With the time by which each has certainly stopped sending; infinite while that isn't known. */
    get stoppedAtMs(): ReadonlyMap<string, number> {
        return this.#stoppedAtMs;
    }

    /** A gateway is no longer in the roster. */
    add(gateway: string): void {
        this.#stoppedAtMs.set(gateway, Number.POSITIVE_INFINITY);
    }

    /**
     * Notes that a majority knows of the present roster. A gateway that left it is answered by members that haven't heard
     * of that yet; once a majority knows, its contact ends, and it sends no more.
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

    /** A fresh gateway never saw those that left before it came, whose requests may still run; peers tell it. */
    merge(words: readonly DepartureReport[], nowMs: number): void {
        for (const { gateway, stoppedAgoMs } of words) {
            if (!this.#stoppedAtMs.has(gateway)) {
                this.#stoppedAtMs.set(gateway, nowMs - stoppedAgoMs);
            }
        }
    }

    /** @returns what peers are told */
    createReports(nowMs: number): readonly DepartureReport[] {
        return [...this.#stoppedAtMs]
            .filter(([, stoppedAtMs]) => stoppedAtMs !== Number.POSITIVE_INFINITY)
            .map(([gateway, stoppedAtMs]) => ({ gateway, stoppedAgoMs: nowMs - stoppedAtMs }));
    }
}
