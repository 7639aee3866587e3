/** Time as the shells see it, so that tests can move it. */
export abstract class Clock {
    /** @returns monotonic time in milliseconds */
    abstract nowMs(): number;
    /**
     * @param delayMs - how long to wait
     * @param run - called once, unless cancelled
     * @returns cancels the call
     */
    abstract after(delayMs: number, run: () => void): () => void;
}

class SystemClock extends Clock {
    override nowMs(): number {
        return performance.now();
    }

    override after(delayMs: number, run: () => void): () => void {
        const timer = setTimeout(run, delayMs);
        return () => clearTimeout(timer);
    }
}

/** @returns the process's own monotonic clock */
export function createSystemClock(): Clock {
    return new SystemClock();
}

/**
 * @param clock - the clock to wait on
 * @param delayMs - how long
 * @param signal - ends the wait early, so that a process that stops isn't kept alive by it
 * @returns settles after the wait
 */
export function delay(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const end = (): void => {
            cancel();
            signal?.removeEventListener("abort", end);
            resolve();
        };
        const cancel = clock.after(delayMs, end);
        signal?.addEventListener("abort", end);
    });
}

/**
 * Waits for an answer, but not for ever. A client that never settles would otherwise end the loop that waits for it,
 * with the symptom of a gateway that stops reading the store for good.
 *
 * @param clock - the clock to wait on
 * @param limitMs - longest wait
 * @param answer - what is waited for
 * @param otherwise - makes the result when the limit has passed
 * @returns the answer, or what `otherwise` makes
 */
export function withTimeout<T>(clock: Clock, limitMs: number, answer: Promise<T>, otherwise: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = clock.after(limitMs, () => resolve(otherwise()));
        answer.then(resolve, reject).finally(cancel);
    });
}
