import { contactTimeoutMs, leavingRecoveryMs } from "./constants.js";

/** Source of a report on whether a server is leaving. */
export type LeavingSource = "hostList" | "health" | "answer" | "peer";

/**
 * Tracks whether one backend server is leaving. The first report of leaving takes effect whatever its source, since
 * each source lags at times. A report that the server is back usually requires a new incarnation, since a lagging
 * source still reports the old one as live.
 */
export class LeavingTracker {
    #isLeaving = false;
    #incarnation: string | undefined;
    #wasListedLeaving = false;
    #reportedAtMs = Number.NEGATIVE_INFINITY;
    #backAtMs = Number.NEGATIVE_INFINITY;

    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** Incarnation of the server that is leaving, if known. */
    get incarnation(): string | undefined {
        return this.#incarnation;
    }

    /** Monotonic time of the last report that the server is leaving, in milliseconds. */
    get reportedAtMs(): number {
        return this.#reportedAtMs;
    }

    /**
     * @param source - source of the report
     * @param isLeaving - whether the server is reported as leaving
     * @param incarnation - incarnation of the server that the report is about, if known
     * @param reportedAtMs - monotonic time of the original report; peers forward reports some time later
     * @returns whether the state changed
     */
    onReport(
        source: LeavingSource,
        isLeaving: boolean,
        incarnation: string | undefined,
        reportedAtMs: number,
    ): boolean {
        const isBack = this.#isBack(source, isLeaving, incarnation, reportedAtMs);
        if (source === "hostList") {
            this.#wasListedLeaving = isLeaving;
        }
        if (isLeaving) {
            return this.#onLeaving(source, incarnation, reportedAtMs);
        }
        if (isBack) {
            this.#isLeaving = false;
            this.#backAtMs = reportedAtMs;
        }
        return isBack;
    }

    #onLeaving(source: LeavingSource, incarnation: string | undefined, reportedAtMs: number): boolean {
        // Peers repeat a report for as long as it holds for them. One that is older than the server's return would take
        // the server out again, and two gateways would keep each other's report alive forever.
        if (source === "peer" && reportedAtMs <= this.#backAtMs + contactTimeoutMs) {
            return false;
        }
        if (!this.#isLeaving && incarnation !== undefined && incarnation === this.#incarnation) {
            return false;
        }
        const isNew = !this.#isLeaving;
        this.#isLeaving = true;
        this.#reportedAtMs = Math.max(this.#reportedAtMs, reportedAtMs);
        this.#incarnation = isNew ? incarnation : incarnation ?? this.#incarnation;
        return isNew;
    }

    #isBack(source: LeavingSource, isLeaving: boolean, incarnation: string | undefined, nowMs: number): boolean {
        if (isLeaving || !this.#isLeaving) {
            return false;
        }
        const isNewIncarnation = incarnation !== undefined && this.#incarnation !== undefined
            && incarnation !== this.#incarnation;
        // Otherwise a server that reports no incarnation would stay out of service forever after a restart.
        const isTimedOut = source === "health" && incarnation === undefined
            && nowMs >= this.#reportedAtMs + leavingRecoveryMs;
        return isNewIncarnation || isTimedOut || (source === "hostList" && this.#wasListedLeaving);
    }
}
