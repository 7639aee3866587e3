import {
    departedGatewayGraceMs,
    withdrawnEvacuationHoldMs,
    tombstoneRetentionMs,
    unconfirmedKeyTtlMs,
} from "./constants.js";
import { type StateItem } from "./model.js";

interface Withdrawal {
    readonly revision: number;
    readonly atMs: number;
}

interface HeldBack {
    readonly item: StateItem;
    readonly untilMs: number;
}

/** What is due as time passes. */
export interface ExpiredOverrides {
    /** Keys that were believed and haven't been written again. */
    readonly expiredKeys: readonly string[];
    /** Items that were held back and are still in the store. */
    readonly confirmedItems: readonly StateItem[];
}

/**
 * What a process believes against the store after it came back from an older copy, until operators and servers have written again what
 * the copy lacks. A key that is missing in the copy isn't gone, and one that is in it again isn't new; both are believed for a limited time.
 */
export class StoreRestoreOverrides {
    readonly #unconfirmed = new Map<string, number>();
    readonly #heldBack = new Map<string, HeldBack>();
    readonly #withdrawals = new Map<string, Withdrawal>();
    #returnedAtMs = -Infinity;

    /** The store came back from an older copy. */
    onStoreRestored(nowMs: number): void {
        this.#returnedAtMs = nowMs;
        this.#heldBack.clear();
    }

    /** @returns whether a key that a reading lacks is believed all the same */
    retains(key: string, nowMs: number): boolean {
        return nowMs < (this.#unconfirmed.get(key) ?? -Infinity);
    }

    /** Of all keys, those that are believed without being in the store. */
    get unconfirmedKeys(): ReadonlyMap<string, number> {
        return this.#unconfirmed;
    }

    /** The first reading after a return lacks this key. */
    onMissing(item: StateItem, nowMs: number): void {
        const forMs = item.type === "gateway" ? departedGatewayGraceMs : unconfirmedKeyTtlMs;
        this.#unconfirmed.set(item.key, nowMs + forMs);
    }

    /**
     * A reading has an item that isn't believed.
     *
     * @returns whether it is the one that was withdrawn before the store's return, and not a new one
     */
    suppresses(item: StateItem, nowMs: number): boolean {
        const withdrawn = this.#withdrawals.get(item.key);
        const untilMs = this.#returnedAtMs + withdrawnEvacuationHoldMs;
        const isOld = item.type === "zoneOut" && withdrawn !== undefined && withdrawn.atMs < this.#returnedAtMs
            && withdrawn.revision === item.revision && nowMs < untilMs;
        if (isOld) {
            this.#heldBack.set(item.key, { item, untilMs });
        }
        return isOld;
    }

    /** A key was written. */
    onWritten(key: string): void {
        this.#unconfirmed.delete(key);
        this.#heldBack.delete(key);
    }

    /** A key was deleted. */
    onDeleted(key: string, item: StateItem | undefined, nowMs: number): void {
        this.onWritten(key);
        if (item?.type === "zoneOut" && item.revision !== undefined) {
            this.#withdrawals.set(key, { revision: item.revision, atMs: nowMs });
        }
    }

    /** @returns what is over now */
    expire(nowMs: number): ExpiredOverrides {
        const lost = [...this.#unconfirmed].filter(([, untilMs]) => nowMs >= untilMs).map(([key]) => key);
        const confirmed = [...this.#heldBack.values()].filter(({ untilMs }) => nowMs >= untilMs).map(({ item }) =>
            item
        );
        for (const [key, { atMs }] of this.#withdrawals) {
            if (nowMs - atMs >= tombstoneRetentionMs) {
                this.#withdrawals.delete(key);
            }
        }
        return { expiredKeys: lost, confirmedItems: confirmed };
    }
}
