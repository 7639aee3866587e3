import { maxShareChanges } from "./constants.js";

/** A change of the shares, at the integral over time that was reached then. */
interface ShareChange {
    readonly integralMs: number;
    readonly sum: number;
}

/** The shares that an allocator holds, at most 1 together, and their integral over time. */
export class ShareHistory {
    #sum = 0;
    #integralMs = 0;
    #atMs: number;
    readonly #changes: ShareChange[] = [{ integralMs: 0, sum: 0 }];

    constructor(nowMs: number) {
        this.#atMs = nowMs;
    }

    /** Sum of the shares. */
    get sum(): number {
        return this.#sum;
    }

    /** Time for which all shares would have to be held for the same refill, in milliseconds. */
    get integralMs(): number {
        return this.#integralMs;
    }

    /** Time passes with the present shares. */
    advance(nowMs: number): void {
        if (nowMs > this.#atMs) {
            this.#integralMs += this.#sum * (nowMs - this.#atMs);
            this.#atMs = nowMs;
        }
    }

    /** The shares add up to something else from now on. */
    setSum(sum: number): void {
        this.#sum = Math.min(1, sum);
        this.#changes.push({ integralMs: this.#integralMs, sum: this.#sum });
        if (this.#changes.length > maxShareChanges) {
            this.#changes.shift();
        }
    }

    /** Counts shares as held for some time more. */
    addCredit(integralMs: number): void {
        this.#integralMs += integralMs;
    }

    /**
     * What a bucket that was never used would hold by now.
     *
     * @param refill - adds the tokens of a span to a level
     */
    replay(refill: (level: number, spanMs: number, sum: number) => number): number {
        let level = 0;
        for (const [i, { integralMs, sum }] of this.#changes.entries()) {
            const endMs = this.#changes[i + 1]?.integralMs ?? this.#integralMs;
            level = refill(level, endMs - integralMs, sum);
        }
        return level;
    }
}
