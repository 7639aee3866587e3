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

interface SuppressedItem {
    readonly item: StateItem;
    readonly untilMs: number;
}

/** Overrides whose time is over. */
export interface ExpiredOverrides {
    /** Keys that were kept and have not been re-created. */
    readonly expiredKeys: readonly string[];
    /** Items that were suppressed and are still in the store. */
    readonly confirmedItems: readonly StateItem[];
}

/**
 * Overrides of the store's contents after it was restored from an older backup, until operators and servers have
 * re-created what the backup lacks. A key that the backup lacks was not deleted, so it stays in effect; a withdrawn
 * item that reappears from the backup is not new, so it is suppressed. Both apply for a limited time.
 */
export class StoreRestoreOverrides {
    readonly #unconfirmedKeys = new Map<string, number>();
    readonly #suppressed = new Map<string, SuppressedItem>();
    readonly #withdrawals = new Map<string, Withdrawal>();
    #restoredAtMs = -Infinity;

    /** The store was restored from an older backup. */
    onStoreRestored(nowMs: number): void {
        this.#restoredAtMs = nowMs;
        this.#suppressed.clear();
    }

    /** @returns whether a key stays in effect although a full read lacks it */
    retains(key: string, nowMs: number): boolean {
        return nowMs < (this.#unconfirmedKeys.get(key) ?? -Infinity);
    }

    /** Keys that are in effect without being in the store, with the end of that time. */
    get unconfirmedKeys(): ReadonlyMap<string, number> {
        return this.#unconfirmedKeys;
    }

    /** The first full read after a restore lacks this item. */
    onMissing(item: StateItem, nowMs: number): void {
        const ttlMs = item.type === "gateway" ? departedGatewayGraceMs : unconfirmedKeyTtlMs;
        this.#unconfirmedKeys.set(item.key, nowMs + ttlMs);
    }

    /**
     * Checks an item of a full read that is not in effect.
     *
     * @returns whether it is the one that was withdrawn before the restore, rather than a new one
     */
    suppresses(item: StateItem, nowMs: number): boolean {
        const withdrawal = this.#withdrawals.get(item.key);
        const untilMs = this.#restoredAtMs + withdrawnEvacuationHoldMs;
        const isWithdrawnItem = item.type === "zoneOut" && withdrawal !== undefined
            && withdrawal.atMs < this.#restoredAtMs
            && withdrawal.revision === item.revision && nowMs < untilMs;
        if (isWithdrawnItem) {
            this.#suppressed.set(item.key, { item, untilMs });
        }
        return isWithdrawnItem;
    }

    /** A key was written. */
    onWritten(key: string): void {
        this.#unconfirmedKeys.delete(key);
        this.#suppressed.delete(key);
    }

    /** A key was deleted. */
    onDeleted(key: string, item: StateItem | undefined, nowMs: number): void {
        this.onWritten(key);
        if (item?.type === "zoneOut" && item.revision !== undefined) {
            this.#withdrawals.set(key, { revision: item.revision, atMs: nowMs });
        }
    }

    /**
     * Ends overrides whose time is over.
     *
     * @returns the overrides that ended
     */
    expire(nowMs: number): ExpiredOverrides {
        const expiredKeys = [...this.#unconfirmedKeys].filter(([, untilMs]) => nowMs >= untilMs).map(([key]) => key);
        const confirmedItems = [...this.#suppressed.values()].filter(({ untilMs }) => nowMs >= untilMs).map((
            { item },
        ) => item);
        for (const [key, { atMs }] of this.#withdrawals) {
            if (nowMs - atMs >= tombstoneRetentionMs) {
                this.#withdrawals.delete(key);
            }
        }
        return { expiredKeys, confirmedItems };
    }
}
