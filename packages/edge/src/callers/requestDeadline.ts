import { type Clock } from "@galenaglade/http-parts";

/** Aborts the handling of a request when its final response is due. The deadline can be moved to an earlier time. */
export class RequestDeadline {
    readonly #clock: Clock;
    readonly #abortController = new AbortController();
    #dueAtMs = Infinity;
    #timer: NodeJS.Timeout | undefined;

    constructor(clock: Clock) {
        this.#clock = clock;
    }

    get signal(): AbortSignal {
        return this.#abortController.signal;
    }

    /** Aborts at once. */
    abort(reason: string): void {
        this.#abortController.abort(reason);
    }

    /**
     * Aborts at a time of the monotonic clock, unless an earlier one is set.
     *
     * @param mayAbort - called at that time
     */
    limit(dueAtMs: number, reason: string, mayAbort: () => boolean = () => true): void {
        if (dueAtMs >= this.#dueAtMs) {
            return;
        }
        this.#dueAtMs = dueAtMs;
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => {
            if (mayAbort()) {
                this.abort(reason);
            }
        }, Math.max(0, dueAtMs - this.#clock.monotonicMs()));
    }

    /** Stops the timer because the request has ended. */
    clear(): void {
        clearTimeout(this.#timer);
    }
}
