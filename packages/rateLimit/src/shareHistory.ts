import { maxShareChanges } from "./constants.js";

/** A change of the sum of shares, and the value of their time integral at that time. */
interface ShareChange {
    readonly integralMs: number;
    readonly sum: number;
}

/** Sum of the shares that an allocator holds, at most 1, and its integral over time. */
export class ShareHistory {
    #sum = 0;
    #integralMs = 0;
    #updatedAtMs: number;
    readonly #changes: ShareChange[] = [{ integralMs: 0, sum: 0 }];

    constructor(nowMs: number) {
        this.#updatedAtMs = nowMs;
    }

    /** Sum of the shares. */
    get sum(): number {
        return this.#sum;
    }

    /**
     * Time integral of the shares, in milliseconds: the time for which holding all shares would give the same refill.
     */
    get integralMs(): number {
        return this.#integralMs;
    }

    /** Advances the integral to a time with the current shares. */
    advance(nowMs: number): void {
        if (nowMs > this.#updatedAtMs) {
            this.#integralMs += this.#sum * (nowMs - this.#updatedAtMs);
            this.#updatedAtMs = nowMs;
        }
    }

    /** Sets the sum of the shares from now on. */
    setSum(sum: number): void {
        this.#sum = Math.min(1, sum);
        this.#changes.push({ integralMs: this.#integralMs, sum: this.#sum });
        if (this.#changes.length > maxShareChanges) {
            this.#changes.shift();
        }
    }

    /** Adds to the integral, as if shares had been held for longer. */
    addCredit(integralMs: number): void {
        this.#integralMs += integralMs;
    }

    /**
     * Computes the current level of a bucket that was never used.
     *
     * @param refill - returns a level after a span of time, limited to the capacity for a sum of shares
     * @returns the level, in tokens
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
