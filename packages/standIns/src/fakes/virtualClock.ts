interface ScheduledEvent {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
}

/** A clock that is advanced by the test, with scheduled events. Events at the same time run in the order added. */
export class VirtualClock {
    readonly #queue: ScheduledEvent[] = [];
    #nowMs = 0;
    #order = 0;

    get nowMs(): number {
        return this.#nowMs;
    }

    /** Time of the next event in milliseconds; `undefined` if no event is scheduled. */
    get nextAtMs(): number | undefined {
        return this.#queue[0]?.atMs;
    }

    /** Schedules `run` to be called once, `delayMs` from now. */
    schedule(delayMs: number, run: () => void): void {
        const entry = { atMs: this.#nowMs + Math.max(0, delayMs), order: this.#order++, run };
        let i = this.#queue.length;
        while (i > 0 && isLater(this.#queue[i - 1], entry)) {
            i--;
        }
        this.#queue.splice(i, 0, entry);
    }

    /** Advances the clock to `untilMs` and runs all events that are due. */
    runUntil(untilMs: number): void {
        for (let next = this.#queue[0]; next !== undefined && next.atMs <= untilMs; next = this.#queue[0]) {
            this.#queue.shift();
            this.#nowMs = next.atMs;
            next.run();
        }
        this.#nowMs = untilMs;
    }
}

function isLater(a: ScheduledEvent | undefined, b: ScheduledEvent): boolean {
    return a !== undefined && (a.atMs > b.atMs || (a.atMs === b.atMs && a.order > b.order));
}
