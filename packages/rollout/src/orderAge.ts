/**
 * Bounds of the time since an order was given, as one gateway knows them. They are taken from monotonic clocks only,
 * so they can be sent to other hosts.
 */
export interface OrderAge {
    /** Time since this gateway first saw the order. */
    readonly atLeastMs: number;
    /**
     * Time since the store last answered without the order; `undefined` if this gateway has not read the store without
     * it.
     */
    readonly atMostMs?: number | undefined;
}

/** Age of an order of which nothing is known. */
export const unknownOrderAge: OrderAge = Object.freeze({ atLeastMs: 0 });

interface ReceivedAge {
    readonly age: OrderAge;
    readonly receivedAtMs: number;
}

/**
 * Combines the bounds of one order's age that gateways know. An order carries no timestamp, and wall clocks differ by
 * seconds between hosts. How long ago a gateway first saw it, or read the store without it, does not depend on its
 * wall clock.
 */
export class OrderAges {
    readonly #received = new Map<string, ReceivedAge>();

    /** @param source - identifies the gateway; its earlier bounds are replaced */
    add(source: string, age: OrderAge, nowMs: number): void {
        this.#received.set(source, { age, receivedAtMs: nowMs });
    }

    /** @returns the tightest bounds that follow from all sources */
    boundsAt(nowMs: number): OrderAge {
        let atLeastMs = 0;
        let atMostMs: number | undefined;
        for (const { age, receivedAtMs } of this.#received.values()) {
            const sinceMs = nowMs - receivedAtMs;
            atLeastMs = Math.max(atLeastMs, age.atLeastMs + sinceMs);
            if (age.atMostMs !== undefined) {
                atMostMs = Math.min(atMostMs ?? Infinity, age.atMostMs + sinceMs);
            }
        }
        return { atLeastMs, atMostMs };
    }
}
