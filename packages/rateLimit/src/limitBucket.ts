import {
    burstShare,
    extraTokens,
    mostRetryMs,
    noSharesRetryMs,
    plentifulShare,
    refillShare,
    startTokens,
} from "./constants.js";
import { type GrantEntry } from "./messages.js";
import { type LimitRule } from "./model.js";
import { type ShareHistory } from "./shareHistory.js";

const oneSecondMs = 1_000;

/** @returns the most tokens that a bucket holds with some shares; one at least, or few shares of a small limit would never admit */
export function capacityOf(rule: LimitRule, sum: number): number {
    return sum > 0 ? Math.max(1, sum * (burstShare * rule.burst + extraTokens)) : 0;
}

/** The tokens of one workspace at its allocator. */
export class LimitBucket {
    granted = 0;
    refused = 0;
    usedAtMs: number;
    #rule: LimitRule;
    #level: number;
    #integralMs: number;
    /** What would be left if all shares were held and nothing was refused: tells a caller over its limit from missing shares. */
    #wholeLevel: number;
    /** When the latest caller that was given a retry time fits. */
    #promisedMs = -Infinity;

    constructor(rule: LimitRule, history: ShareHistory, nowMs: number) {
        this.#rule = rule;
        const level = history.replay((before, spanMs, sum) => this.#refill(before, spanMs, sum));
        this.#level = Math.min(level + startTokens, capacityOf(rule, history.sum));
        this.#integralMs = history.integralMs;
        this.#wholeLevel = capacityOf(rule, 1);
        this.usedAtMs = nowMs;
    }

    get rule(): LimitRule {
        return this.#rule;
    }

    get level(): number {
        return this.#level;
    }

    /** Brings the level up to date; to be called before and after each change of the shares. */
    update(history: ShareHistory): void {
        this.#level = this.#refill(this.#level, history.integralMs - this.#integralMs, history.sum);
        this.#integralMs = history.integralMs;
    }

    /** What a host says of the workspace's limit. */
    onRule(rule: LimitRule, history: ShareHistory): void {
        if (rule.configVersion > this.#rule.configVersion) {
            this.update(history);
            this.#rule = rule;
            this.#level = Math.min(this.#level, capacityOf(rule, history.sum));
        }
    }

    /** Takes tokens, after those that come back unused. */
    take(wanted: number, givenBack: number, history: ShareHistory, nowMs: number): GrantEntry {
        this.update(history);
        const capacity = capacityOf(this.#rule, history.sum);
        this.#level = Math.min(capacity, this.#level + givenBack);
        const granted = Math.min(wanted, Math.floor(this.#level));
        this.#level -= granted;
        this.granted += granted;
        const over = this.#isOver(wanted, givenBack, nowMs);
        const missing = wanted - granted;
        this.refused += missing;
        const retryAfterMs = missing === 0 ? 0 : this.#promise(missing, history.sum, nowMs);
        return { granted, retryAfterMs, plentiful: this.#level > capacity * plentifulShare, over: missing > 0 && over };
    }

    #refill(level: number, spanMs: number, sum: number): number {
        const added = spanMs * this.#rule.perSecond * refillShare / oneSecondMs;
        return Math.min(capacityOf(this.#rule, sum), level + added);
    }

    #isOver(wanted: number, givenBack: number, nowMs: number): boolean {
        const added = (nowMs - this.usedAtMs) * this.#rule.perSecond * refillShare / oneSecondMs;
        const level = Math.min(capacityOf(this.#rule, 1), this.#wholeLevel + added + givenBack);
        this.#wholeLevel = Math.max(0, level - wanted);
        this.usedAtMs = nowMs;
        return level < wanted;
    }

    /** @returns after what time the first of some refused requests fits, behind those that were given a time before */
    #promise(count: number, sum: number, nowMs: number): number {
        if (sum <= 0) {
            return noSharesRetryMs;
        }
        const tokenMs = oneSecondMs / this.#rule.perSecond;
        const missingMs = Math.max(0, 1 - this.#level) * tokenMs / (refillShare * sum);
        const firstMs = Math.min(nowMs + mostRetryMs, Math.max(nowMs + missingMs, this.#promisedMs + tokenMs));
        this.#promisedMs = Math.min(nowMs + mostRetryMs, firstMs + (count - 1) * tokenMs);
        return Math.ceil(firstMs - nowMs);
    }
}
