import { createFailure } from "@galenaglade/errors";
import { type Either, Left } from "purify-ts";
import { type CallFailure, toCallFailure } from "./callFailure.js";
import { type ChangeSignal, sleepUnlessAborted } from "./changeSignal.js";
import { watchRetryDelayMs } from "./constants.js";
import { type StandingInit } from "./standingMessages.js";

/** A standing, or why it can't be learnt now. */
export type StandingEvent = Either<CallFailure, StandingInit>;

/** A watcher holds at most one event: a slow one misses what was between, and never makes a queue grow. */
interface Watcher {
    pending: StandingEvent | undefined;
    wake: () => void;
}

/**
 * Reads the standing once for all watchers of the process, and only while there is one: however many operators watch,
 * the store and the gateways are asked by one reader.
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
     * @param changes - tells when to read again
     * @param maximumWatchers - watchers at once
     */
    constructor(read: () => Promise<StandingEvent>, changes: ChangeSignal, maximumWatchers: number) {
        this.#read = read;
        this.#changes = changes;
        this.#maximumWatchers = maximumWatchers;
    }

    /** Whether another watcher may come. */
    get isFull(): boolean {
        return this.#watchers.size >= this.#maximumWatchers;
    }

    /**
     * Gives the present standing, and the newest whenever it has changed.
     *
     * @param signal - ends the watch
     * @returns standings until the signal is aborted
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
            this.#stopWhenUnwatched();
        }
    }

    #start(): void {
        if (this.#reading !== undefined) {
            return;
        }
        this.#reading = new AbortController();
        void this.#run(this.#reading.signal);
    }

    #stopWhenUnwatched(): void {
        if (this.#watchers.size > 0) {
            return;
        }
        this.#reading?.abort();
        this.#reading = undefined;
        this.#last = undefined;
    }

    async #run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const event = await this.#readSafely();
            this.#publish(event, signal);
            // A change that isn't in force yet comes into force without any change in the store.
            const settled = event.map(({ inForce }) => inForce).orDefault(false);
            await (settled ? this.#changes.wait(signal) : sleepUnlessAborted(watchRetryDelayMs, signal));
        }
    }

    async #readSafely(): Promise<StandingEvent> {
        try {
            return await this.#read();
        }
        catch (err) {
            // One reader serves every watcher: were it to end on an unforeseen error, all of them would hear nothing
            // more and take that for no change.
            const detail = err instanceof Error ? err.message : String(err);
            return Left(toCallFailure(createFailure("internal", detail)));
        }
    }

    #publish(event: StandingEvent, signal: AbortSignal): void {
        // A reader that was stopped while it read has been replaced by one that knows better.
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
