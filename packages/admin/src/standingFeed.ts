import { createFailure } from "@galenaglade/errors";
import { type Either, Left } from "purify-ts";
import { type CallFailure, toCallFailure } from "./callFailure.js";
import { type ChangeSignal, sleepUnlessAborted } from "./changeSignal.js";
import { watchRetryDelayMs } from "./constants.js";
import { type StandingInit } from "./standingMessages.js";

/** A standing, or why it can't be read. */
export type StandingEvent = Either<CallFailure, StandingInit>;

/** Buffers only the newest event: a slow watcher skips intermediate events instead of building up a queue. */
interface Watcher {
    pending: StandingEvent | undefined;
    wake: () => void;
}

/**
 * Reads the standing on behalf of all watchers of the process, and only while there are any, so that the load on the
 * store and the gateways doesn't grow with the number of watchers.
 */
export class StandingFeed {
    readonly #read: () => Promise<StandingEvent>;
    readonly #changes: ChangeSignal;
    readonly #maximumWatchers: number;
    readonly #watchers = new Set<Watcher>();
    #reading: AbortController | undefined;
    #last: StandingEvent | undefined;

    /**
     * @param read - reads the standing
     * @param changes - signals when to read again
     * @param maximumWatchers - maximum number of concurrent watchers
     */
    constructor(read: () => Promise<StandingEvent>, changes: ChangeSignal, maximumWatchers: number) {
        this.#read = read;
        this.#changes = changes;
        this.#maximumWatchers = maximumWatchers;
    }

    /** Whether the maximum number of watchers is reached. */
    get isFull(): boolean {
        return this.#watchers.size >= this.#maximumWatchers;
    }

    /**
     * Yields the current standing, and the newest one after each change.
     *
     * @param signal - ends the watch
     * @returns standings, until the signal is aborted
     */
    async *watch(signal: AbortSignal): AsyncGenerator<StandingEvent> {
        const watcher: Watcher = { pending: this.#last, wake: () => undefined };
        const onAbort = () => watcher.wake();
        signal.addEventListener("abort", onAbort);
        this.#watchers.add(watcher);
        this.#start();
        try {
            while (!signal.aborted) {
                const event = watcher.pending;
                if (event === undefined) {
                    await new Promise<void>(resolve => watcher.wake = resolve);
                    continue;
                }
                watcher.pending = undefined;
                yield event;
            }
        }
        finally {
            signal.removeEventListener("abort", onAbort);
            this.#watchers.delete(watcher);
            this.#stopIfUnwatched();
        }
    }

    #start(): void {
        if (this.#reading !== undefined) {
            return;
        }
        this.#reading = new AbortController();
        void this.#readLoop(this.#reading.signal);
    }

    #stopIfUnwatched(): void {
        if (this.#watchers.size > 0) {
            return;
        }
        this.#reading?.abort();
        this.#reading = undefined;
        this.#last = undefined;
    }

    async #readLoop(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const event = await this.#readSafely();
            this.#publish(event, signal);
            // A change comes into force without a further change in the store, so it is polled until then.
            const isInForce = event.map(({ inForce }) => inForce).orDefault(false);
            await (isInForce ? this.#changes.wait(signal) : sleepUnlessAborted(watchRetryDelayMs, signal));
        }
    }

    async #readSafely(): Promise<StandingEvent> {
        try {
            return await this.#read();
        }
        catch (err) {
            // The reader serves all watchers. If an unexpected error ended it, they would get no more events and assume
            // that nothing changes.
            const detail = err instanceof Error ? err.message : String(err);
            return Left(toCallFailure(createFailure("internal", detail)));
        }
    }

    #publish(event: StandingEvent, signal: AbortSignal): void {
        // The reader was stopped during the read. A newer reader may have published since.
        if (signal.aborted) {
            return;
        }
        if (this.#last !== undefined && JSON.stringify(this.#last) === JSON.stringify(event)) {
            return;
        }
        this.#last = event;
        for (const watcher of this.#watchers) {
            watcher.pending = event;
            watcher.wake();
        }
    }
}
