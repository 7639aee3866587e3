import { type KeyValueStore } from "@galenaglade/platform";
import { setTimeout as pause } from "node:timers/promises";
import { watchRefreshPeriodMs, watchRetryDelayMs } from "./constants.js";

/** Signals that the configuration may have changed. */
export abstract class ChangeSignal {
    /** Resolves after a possible change or a refresh period, or early if `signal` is aborted. */
    abstract wait(signal: AbortSignal): Promise<void>;
}

/** Watches the store, with at most one open call for the whole process. */
export class StoreChangeSignal extends ChangeSignal {
    readonly #store: KeyValueStore;
    readonly #prefix: string;
    #afterRevision: number | undefined;

    /**
     * @param store - the platform's key-value service
     * @param prefix - prefix of the watched keys
     */
    constructor(store: KeyValueStore, prefix: string) {
        super();
        this.#store = store;
        this.#prefix = prefix;
    }

    override async wait(signal: AbortSignal): Promise<void> {
        if (this.#afterRevision === undefined) {
            const listed = await this.#store.list(this.#prefix);
            this.#afterRevision = listed.map(({ revision }) => revision).toMaybe().extract();
            // Changes before this list aren't covered by the watch, so the first wait returns at once.
            await sleepUnlessAborted(listed.isLeft() ? watchRetryDelayMs : 0, signal);
            return;
        }
        const events = await this.#store.watch({
            prefix: this.#prefix,
            afterRevision: this.#afterRevision,
            waitMs: watchRefreshPeriodMs,
            signal,
        });
        if (events.isLeft()) {
            await sleepUnlessAborted(watchRetryDelayMs, signal);
            return;
        }
        this.#afterRevision = events.unsafeCoerce().revision;
    }
}

/**
 * Sleeps, or returns early if aborted.
 *
 * @param ms - duration in milliseconds
 * @param signal - ends the sleep early
 */
export async function sleepUnlessAborted(ms: number, signal: AbortSignal): Promise<void> {
    try {
        await pause(ms, undefined, { signal });
    }
    catch {
        // Aborted: callers check the signal.
    }
}
