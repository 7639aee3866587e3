import {
    burstFactor,
    extraBurstTokens,
    maxRetryAfterMs,
    noSharesRetryAfterMs,
    plentifulThreshold,
    refillFactor,
    initialTokens,
} from "./constants.js";
import { type LimitResponseEntry } from "./messages.js";
import { type LimitRule } from "./model.js";
import { type ShareHistory } from "./shareHistory.js";

const oneSecondMs = 1_000;

/**
 * @returns the capacity of a bucket for a sum of shares; at least one token, as a small share of a small limit would
 * never admit a request
 */
export function bucketCapacity(rule: LimitRule, sum: number): number {
    return sum > 0 ? Math.max(1, sum * (burstFactor * rule.burst + extraBurstTokens)) : 0;
}

/** Token bucket of one workspace at its allocator. */
export class LimitBucket {
    granted = 0;
    refused = 0;
    lastUsedAtMs: number;
    #rule: LimitRule;
    #level: number;
    #integralMs: number;
    /**
     * Level if all shares were held and no request was refused; distinguishes a workspace over its limit from missing
     * shares.
     */
    #fullShareLevel: number;
    /** Time at which the latest refused caller was told to retry. */
    #lastRetryAtMs = -Infinity;

    constructor(rule: LimitRule, history: ShareHistory, nowMs: number) {
        this.#rule = rule;
        const level = history.replay((before, spanMs, sum) => this.#refill(before, spanMs, sum));
        this.#level = Math.min(level + initialTokens, bucketCapacity(rule, history.sum));
        this.#integralMs = history.integralMs;
        this.#fullShareLevel = bucketCapacity(rule, 1);
        this.lastUsedAtMs = nowMs;
    }

    get rule(): LimitRule {
        return this.#rule;
    }

    get level(): number {
        return this.#level;
    }

    /** Refills the bucket; must be called before and after each change of the shares. */
    refill(history: ShareHistory): void {
        this.#level = this.#refill(this.#level, history.integralMs - this.#integralMs, history.sum);
        this.#integralMs = history.integralMs;
    }

    /** Replaces the limit if a host sends a newer version of it. */
    updateRule(rule: LimitRule, history: ShareHistory): void {
        if (rule.configVersion > this.#rule.configVersion) {
            this.refill(history);
            this.#rule = rule;
            this.#level = Math.min(this.#level, bucketCapacity(rule, history.sum));
        }
    }

    /** Adds returned tokens, then takes as many of the requested tokens as available. */
    take(wanted: number, givenBack: number, history: ShareHistory, nowMs: number): LimitResponseEntry {
        this.refill(history);
        const capacity = bucketCapacity(this.#rule, history.sum);
        this.#level = Math.min(capacity, this.#level + givenBack);
        const granted = Math.min(wanted, Math.floor(this.#level));
        this.#level -= granted;
        this.granted += granted;
        const over = this.#isOverLimit(wanted, givenBack, nowMs);
        const missing = wanted - granted;
        this.refused += missing;
        const retryAfterMs = missing === 0 ? 0 : this.#scheduleRetry(missing, history.sum, nowMs);
        return {
            granted,
            retryAfterMs,
            plentiful: this.#level > capacity * plentifulThreshold,
            over: missing > 0 && over,
        };
    }

    #refill(level: number, spanMs: number, sum: number): number {
        const added = spanMs * this.#rule.perSecond * refillFactor / oneSecondMs;
        return Math.min(bucketCapacity(this.#rule, sum), level + added);
    }

    #isOverLimit(wanted: number, givenBack: number, nowMs: number): boolean {
        const added = (nowMs - this.lastUsedAtMs) * this.#rule.perSecond * refillFactor / oneSecondMs;
        const level = Math.min(bucketCapacity(this.#rule, 1), this.#fullShareLevel + added + givenBack);
        this.#fullShareLevel = Math.max(0, level - wanted);
        this.lastUsedAtMs = nowMs;
        return level < wanted;
    }

    /**
     * @returns retry delay of the first of some refused requests, scheduled after the retries of those refused before
     */
    #scheduleRetry(count: number, sum: number, nowMs: number): number {
        if (sum <= 0) {
            return noSharesRetryAfterMs;
        }
        const tokenMs = oneSecondMs / this.#rule.perSecond;
        const missingMs = Math.max(0, 1 - this.#level) * tokenMs / (refillFactor * sum);
        const firstMs = Math.min(nowMs + maxRetryAfterMs, Math.max(nowMs + missingMs, this.#lastRetryAtMs + tokenMs));
        this.#lastRetryAtMs = Math.min(nowMs + maxRetryAfterMs, firstMs + (count - 1) * tokenMs);
        return Math.ceil(firstMs - nowMs);
    }
}
