/** Calls per second that the key-value service accepts. */
export interface CallLimits {
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

/** The real platform's current rate limits. */
export const defaultCallLimits: CallLimits = { writesPerSecond: 500, readsPerSecond: 2_000 };

/** Calls counted since the start. */
export interface CallCounts {
    readonly reads: number;
    readonly writes: number;
    /** Watches; each is also counted in `reads`. */
    readonly watches: number;
    readonly rateLimited: number;
}

type MutableCallCounts = { -readonly [K in keyof CallCounts]: number; };

/** A token bucket whose capacity is the refill of one second. */
class TokenBucket {
    readonly #perSecond: number;
    #tokens: number;
    #refilledAtMs: number;

    constructor(perSecond: number, nowMs: number) {
        this.#perSecond = perSecond;
        this.#tokens = perSecond;
        this.#refilledAtMs = nowMs;
    }

    tryTake(nowMs: number): boolean {
        const refilled = this.#tokens + (nowMs - this.#refilledAtMs) * this.#perSecond / 1_000;
        this.#tokens = Math.min(this.#perSecond, refilled);
        this.#refilledAtMs = nowMs;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}

/** Counts calls by client and rejects those over the rate limit. A watch counts as one read, however long it waits. */
export class CallRateLimiter {
    readonly #writes: TokenBucket;
    readonly #reads: TokenBucket;
    readonly #byClient = new Map<string, MutableCallCounts>();

    constructor(limits: CallLimits, nowMs: number) {
        this.#writes = new TokenBucket(limits.writesPerSecond, nowMs);
        this.#reads = new TokenBucket(limits.readsPerSecond, nowMs);
    }

    /**
     * Counts one call.
     *
     * @param client - name of the calling client
     * @param kind - the kind of call
     * @param nowMs - the current time in milliseconds
     * @returns whether the call is within the rate limit
     */
    admit(client: string, kind: "read" | "write" | "watch", nowMs: number): boolean {
        const counts = this.#getCounts(client);
        const admitted = kind === "write" ? this.#writes.tryTake(nowMs) : this.#reads.tryTake(nowMs);
        if (kind === "write") {
            counts.writes++;
        }
        else {
            counts.reads++;
        }
        if (kind === "watch") {
            counts.watches++;
        }
        if (!admitted) {
            counts.rateLimited++;
        }
        return admitted;
    }

    /** @returns the counts over all clients, and of each client */
    snapshot(): { readonly total: CallCounts; readonly byClient: Readonly<Record<string, CallCounts>>; } {
        const total: MutableCallCounts = { reads: 0, writes: 0, watches: 0, rateLimited: 0 };
        for (const counts of this.#byClient.values()) {
            total.reads += counts.reads;
            total.writes += counts.writes;
            total.watches += counts.watches;
            total.rateLimited += counts.rateLimited;
        }
        return { total, byClient: Object.fromEntries(this.#byClient) };
    }

    #getCounts(client: string): MutableCallCounts {
        let counts = this.#byClient.get(client);
        if (counts === undefined) {
            counts = { reads: 0, writes: 0, watches: 0, rateLimited: 0 };
            this.#byClient.set(client, counts);
        }
        return counts;
    }
}
