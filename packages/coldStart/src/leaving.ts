import { leavingReturnMs } from "./constants.js";

/** Who said that a server is leaving, or not. */
export type LeavingSource = "hostList" | "health" | "answer" | "peer";

/**
 * Whether one backend server is leaving. Whichever source says so first is believed at once, since each of them lags
 * now and then; that it is back is believed only of a new life, since a lagging source still says "live" of the old.
 */
export class Leaving {
    #isLeaving = false;
    #incarnation: string | undefined;
    #wasListedLeaving = false;
    #saidAtMs = Number.NEGATIVE_INFINITY;

    get isLeaving(): boolean {
        return this.#isLeaving;
    }

    /** The server's life that is leaving, where it is known. */
    get incarnation(): string | undefined {
        return this.#incarnation;
    }

    /**
     * @param source - who said it
     * @param isLeaving - what was said
     * @param incarnation - the server's life that it was said of, where known
     * @param nowMs - the present time
     * @returns whether that changed anything
     */
    onWord(source: LeavingSource, isLeaving: boolean, incarnation: string | undefined, nowMs: number): boolean {
        const isBack = this.#isBack(source, isLeaving, incarnation, nowMs);
        if (isLeaving) {
            this.#saidAtMs = nowMs;
        }
        if (source === "hostList") {
            this.#wasListedLeaving = isLeaving;
        }
        if (isLeaving && !this.#isLeaving) {
            return this.#begin(incarnation);
        }
        if (isBack) {
            this.#isLeaving = false;
            return true;
        }
        return false;
    }

    #begin(incarnation: string | undefined): boolean {
        // A late word of a life that is over must not take the next one out.
        if (incarnation !== undefined && incarnation === this.#incarnation) {
            return false;
        }
        this.#isLeaving = true;
        this.#incarnation = incarnation;
        return true;
    }

    #isBack(source: LeavingSource, isLeaving: boolean, incarnation: string | undefined, nowMs: number): boolean {
        if (isLeaving || !this.#isLeaving) {
            return false;
        }
        const isNewLife = incarnation !== undefined && this.#incarnation !== undefined
            && incarnation !== this.#incarnation;
        // A server that names no incarnation would otherwise stay out for good after a restart.
        const isSilent = source === "health" && incarnation === undefined && nowMs >= this.#saidAtMs + leavingReturnMs;
        return isNewLife || isSilent || (source === "hostList" && this.#wasListedLeaving);
    }
}
