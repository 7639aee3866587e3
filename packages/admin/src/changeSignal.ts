import { type KeyValueStore } from "@galenaglade/platform";
import { setTimeout as pause } from "node:timers/promises";
import { watchRefreshPeriodMs, watchRetryDelayMs } from "./constants.js";

/** Tells when the configuration may have changed. */
export abstract class ChangeSignal {
    /** Resolves when something may have changed, or some time has passed; early where `signal` is aborted. */
    abstract wait(signal: AbortSignal): Promise<void>;
}

/** Waits at the store, one call at a time for the whole process. */
export class StoreChangeSignal extends ChangeSignal {
    readonly #store: KeyValueStore;
    readonly #prefix: string;
    #afterRevision: number | undefined;

    /**
     * @param store - the platform's key-value service
     * @param prefix - keys whose changes matter
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
            // What changed before the list was read has to be looked at, so the first wait is none.
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
 * Waits.
 *
 * @param ms - how long, in milliseconds
 * @param signal - ends the wait early
 */
export async function sleepUnlessAborted(ms: number, signal: AbortSignal): Promise<void> {
    try {
        await pause(ms, undefined, { signal });
    }
    catch {
        // Aborted: the one who waits looks at the signal.
    }
}
