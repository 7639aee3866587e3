import { type EventQueue } from "./eventQueue.js";

/** Simulates a single-threaded event loop that runs one task at a time on a share of a core. */
export class SimulatedEventLoop {
    readonly #events: EventQueue;
    readonly #cores: number;
    #freeAtMs = 0;

    /**
     * @param events - the replay's clock
     * @param cores - cores available to the process; one thread uses at most one
     */
    constructor(events: EventQueue, cores: number) {
        this.#events = events;
        this.#cores = Math.min(1, cores);
    }

    /** How long a task added now would wait before it runs, in milliseconds. */
    get queueDelayMs(): number {
        return Math.max(0, this.#freeAtMs - this.#events.nowMs);
    }

    /**
     * @param costMs - CPU time of the task on a whole core, in milliseconds
     * @param run - called when the task ends
     */
    execute(costMs: number, run: () => void): void {
        const beginsAtMs = Math.max(this.#events.nowMs, this.#freeAtMs);
        this.#freeAtMs = beginsAtMs + costMs / this.#cores;
        this.#events.schedule(this.#freeAtMs - this.#events.nowMs, run);
    }

    /** Makes the loop idle. The callbacks of queued tasks still run, so callers must ignore them. */
    restart(): void {
        this.#freeAtMs = this.#events.nowMs;
    }
}
