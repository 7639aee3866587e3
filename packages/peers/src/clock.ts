/** Clock and timers of a process; tests replace it by a virtual one. */
export abstract class Clock {
    /** @returns monotonic time in milliseconds */
    abstract nowMs(): number;
    /**
     * @param delayMs - delay in milliseconds
     * @param run - called once after the delay, unless cancelled
     * @returns function that cancels the call
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

/** @returns the monotonic clock of the process */
export function createSystemClock(): Clock {
    return new SystemClock();
}

/**
 * @param clock - clock to use
 * @param delayMs - delay in milliseconds
 * @param signal - ends the delay early, so that it doesn't keep a stopping process alive
 * @returns resolves after the delay
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
 * Limits the time to wait for a promise. Otherwise a client whose call never settles would block the loop that awaits
 * it, and a gateway would stop reading the store forever.
 *
 * @param clock - clock to use
 * @param timeoutMs - timeout in milliseconds
 * @param promise - promise to wait for
 * @param onTimeout - creates the result after a timeout
 * @returns the result of the promise, or of `onTimeout` after a timeout
 */
export function withTimeout<T>(clock: Clock, timeoutMs: number, promise: Promise<T>, onTimeout: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = clock.after(timeoutMs, () => resolve(onTimeout()));
        promise.then(resolve, reject).finally(cancel);
    });
}
