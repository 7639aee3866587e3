/** How long ago an order was given, as far as one gateway knows it. Taken from monotonic clocks only, so it may be passed on. */
export interface OrderAge {
    /** Since it was seen. */
    readonly atLeastMs: number;
    /** Since the store last answered without it; `undefined` where this gateway has not read the store without it. */
    readonly atMostMs?: number | undefined;
}

/** Nothing is known of an order's age. */
export const unknownOrderAge: OrderAge = Object.freeze({ atLeastMs: 0 });

interface HeardAge {
    readonly age: OrderAge;
    readonly heardAtMs: number;
}

/**
 * Adds up what gateways know of one order's age. The order bears no time, and hosts' times of day differ by seconds; that a
 * gateway saw it so long ago, or read the store without it, holds whatever its time of day is.
 */
export class OrderAges {
    readonly #heard = new Map<string, HeardAge>();

    /** @param source - whose knowledge it is; what it said before is replaced */
    add(source: string, age: OrderAge, nowMs: number): void {
        this.#heard.set(source, { age, heardAtMs: nowMs });
    }

    /** @returns the closest bounds that follow from all of them */
    boundsAt(nowMs: number): OrderAge {
        let atLeastMs = 0;
        let atMostMs: number | undefined;
        for (const { age, heardAtMs } of this.#heard.values()) {
            const sinceMs = nowMs - heardAtMs;
            atLeastMs = Math.max(atLeastMs, age.atLeastMs + sinceMs);
            if (age.atMostMs !== undefined) {
                atMostMs = Math.min(atMostMs ?? Infinity, age.atMostMs + sinceMs);
            }
        }
        return { atLeastMs, atMostMs };
    }
}
