/** Runs asynchronous tasks one at a time, in the order of their submission. */
export class SerialExecutor {
    #last: Promise<unknown> = Promise.resolve();

    /** @returns the task's result, once all earlier tasks have settled and this one is done */
    run<T>(work: () => Promise<T>): Promise<T> {
        const done = this.#last.then(work);
        this.#last = done.catch(() => undefined);
        return done;
    }
}
