import { contactTimeoutMs, leavingRecoveryMs } from "./constants.js";

/** Who said that a server is leaving, or not. */
export type LeavingSource = "hostList" | "health" | "answer" | "peer";

/**
 * Whether one backend server is leaving. Whichever source says so first is believed at once, since each of them lags
 * now and then; that it is back is believed only of a new life, since a lagging source still says "live" of the old.
 */
export class LeavingTracker {
    #isLeaving = false;
    #incarnation: string | undefined;
    #wasListedLeaving = false;
    #saidAtMs = Number.NEGATIVE_INFINITY;
    #backAtMs = Number.NEGATIVE_INFINITY;

    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** The server's life that is leaving, where it is known. */
    get incarnation(): string | undefined {
        return this.#incarnation;
    }

    /** When it was last said that the server is leaving. */
    get reportedAtMs(): number {
        return this.#saidAtMs;
    }

    /**
     * @param source - who said it
     * @param isLeaving - what was said
     * @param incarnation - the server's life that it was said of, where known
     * @param saidAtMs - when it was first said; a peer passes on what it heard some time ago
     * @returns whether that changed anything
     */
    onReport(source: LeavingSource, isLeaving: boolean, incarnation: string | undefined, saidAtMs: number): boolean {
        const isBack = this.#isBack(source, isLeaving, incarnation, saidAtMs);
        if (source === "hostList") {
            this.#wasListedLeaving = isLeaving;
        }
        if (isLeaving) {
            return this.#onLeaving(source, incarnation, saidAtMs);
        }
        if (isBack) {
            this.#isLeaving = false;
            this.#backAtMs = saidAtMs;
        }
        return isBack;
    }

    #onLeaving(source: LeavingSource, incarnation: string | undefined, saidAtMs: number): boolean {
        // Peers repeat a word for as long as they believe it. One that is older than the server's return would take
        // it out again, and two gateways would tell each other so for ever.
        if (source === "peer" && saidAtMs <= this.#backAtMs + contactTimeoutMs) {
            return false;
        }
        if (!this.#isLeaving && incarnation !== undefined && incarnation === this.#incarnation) {
            return false;
        }
        const isNew = !this.#isLeaving;
        this.#isLeaving = true;
        this.#saidAtMs = Math.max(this.#saidAtMs, saidAtMs);
        this.#incarnation = isNew ? incarnation : incarnation ?? this.#incarnation;
        return isNew;
    }

    #isBack(source: LeavingSource, isLeaving: boolean, incarnation: string | undefined, nowMs: number): boolean {
        if (isLeaving || !this.#isLeaving) {
            return false;
        }
        const isNewLife = incarnation !== undefined && this.#incarnation !== undefined
            && incarnation !== this.#incarnation;
        // A server that names no incarnation would otherwise stay out for good after a restart.
        const isSilent = source === "health" && incarnation === undefined
            && nowMs >= this.#saidAtMs + leavingRecoveryMs;
        return isNewLife || isSilent || (source === "hostList" && this.#wasListedLeaving);
    }
}
