/** Runs pieces of work one after the other, in the order in which they are given. */
export class SerialExecutor {
    #last: Promise<unknown> = Promise.resolve();

    /** @returns what the work gave, once all that was given before has ended and it has too */
    run<T>(work: () => Promise<T>): Promise<T> {
        const done = this.#last.then(work);
        this.#last = done.catch(() => undefined);
        return done;
    }
}
