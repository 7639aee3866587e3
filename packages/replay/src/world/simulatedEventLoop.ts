import { type EventQueue } from "./eventQueue.js";

/** What one event loop can do: one task after the other, on a share of a core. */
export class SimulatedEventLoop {
    readonly #events: EventQueue;
    readonly #cores: number;
    #freeAtMs = 0;

    /**
     * @param events - the replay's clock
     * @param cores - share of a core that the process gets; one thread can't use more than one
     */
    constructor(events: EventQueue, cores: number) {
        this.#events = events;
        this.#cores = Math.min(1, cores);
    }

    /** How long a task that comes now waits for its turn. */
    get queueDelayMs(): number {
        return Math.max(0, this.#freeAtMs - this.#events.nowMs);
    }

    /**
     * @param costMs - processor time of the task on a whole core
     * @param run - its outcome, at the end of the task
     */
    execute(costMs: number, run: () => void): void {
        const beginsAtMs = Math.max(this.#events.nowMs, this.#freeAtMs);
        this.#freeAtMs = beginsAtMs + costMs / this.#cores;
        this.#events.schedule(this.#freeAtMs - this.#events.nowMs, run);
    }

    /** Forgets what is waiting; the tasks' outcomes must be dropped by whoever planned them. */
    restart(): void {
        this.#freeAtMs = this.#events.nowMs;
    }
}
