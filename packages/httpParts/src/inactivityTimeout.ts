/**
 * Aborts a call when no data arrives for too long: until the response begins, then between two chunks of it. A timeout
 * for the whole call would abort every attempt to read a large response while it is being received.
 */
export class InactivityTimeout {
    readonly #controller = new AbortController();
    #timer: NodeJS.Timeout;

    /** @param ms - timeout until the response begins, in milliseconds */
    constructor(ms: number) {
        this.#timer = setTimeout(() => this.#controller.abort(new Error("nothing arrived in time")), ms);
    }

    /** Aborted when the timeout expires. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    /** Restarts the timeout because data has arrived. @param ms - timeout until the next chunk, in milliseconds */
    onActivity(ms: number): void {
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => this.#controller.abort(new Error("nothing more arrived in time")), ms);
    }

    /** Stops the timeout because the call has ended. */
    clear(): void {
        clearTimeout(this.#timer);
    }
}
