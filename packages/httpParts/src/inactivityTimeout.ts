/**
 * Gives a call up when nothing arrives for too long: first until the answer begins, then from one part of it to the next. A limit for the
 * whole call would give up large answers again and again while they arrive.
 */
export class InactivityTimeout {
    readonly #controller = new AbortController();
    #timer: NodeJS.Timeout;

    /** @param ms - until the answer begins, in milliseconds */
    constructor(ms: number) {
        this.#timer = setTimeout(() => this.#controller.abort(new Error("nothing arrived in time")), ms);
    }

    /** Aborts when the time is over. */
    get signal(): AbortSignal {
        return this.#controller.signal;
    }

    /** A part has arrived. @param ms - until the next one must, in milliseconds */
    onActivity(ms: number): void {
        clearTimeout(this.#timer);
        this.#timer = setTimeout(() => this.#controller.abort(new Error("nothing more arrived in time")), ms);
    }

    /** The call has ended. */
    clear(): void {
        clearTimeout(this.#timer);
    }
}
