interface Entry {
    readonly atMs: number;
    /** Breaks ties: entries with the same time run in the order in which they were added. */
    readonly sequence: number;
    readonly run: () => void;
}

/** Queue of events ordered by time. A binary heap keeps long replays of large fleets fast. */
export class EventQueue {
    readonly #heap: Entry[] = [];
    #sequence = 0;
    #nowMs = 0;

    /** Simulated time, in milliseconds since the start of the replay. */
    get nowMs(): number {
        return this.#nowMs;
    }

    /**
     * @param delayMs - delay from now in milliseconds; a negative delay counts as 0
     * @param run - the event's callback
     */
    schedule(delayMs: number, run: () => void): void {
        this.#heap.push({ atMs: this.#nowMs + Math.max(0, delayMs), sequence: this.#sequence++, run });
        this.#siftUp(this.#heap.length - 1);
    }

    /**
     * Runs all events up to a time.
     *
     * @param untilMs - end of the run, inclusive
     * @param maxEvents - maximum number of events
     * @returns number of events that ran
     * @throws RangeError if there are more events, which indicates an event that schedules itself without end
     */
    runUntil(untilMs: number, maxEvents: number): number {
        let count = 0;
        for (let next = this.#heap[0]; next !== undefined && next.atMs <= untilMs; next = this.#heap[0]) {
            if (++count > maxEvents) {
                throw new RangeError(`more than ${maxEvents} events by ${this.#nowMs.toFixed(0)} ms`);
            }
            this.#removeFirst();
            this.#nowMs = next.atMs;
            next.run();
        }
        this.#nowMs = untilMs;
        return count;
    }

    #removeFirst(): void {
        const last = this.#heap.pop();
        if (last !== undefined && this.#heap.length > 0) {
            this.#heap[0] = last;
            this.#siftDown();
        }
    }

    #siftUp(from: number): void {
        for (let i = from; i > 0;) {
            const parent = (i - 1) >> 1;
            if (!this.#swapIfEarlier(i, parent)) {
                return;
            }
            i = parent;
        }
    }

    #siftDown(): void {
        for (let i = 0;;) {
            const left = 2 * i + 1;
            const right = left + 1;
            const child = this.#isEarlier(right, left) ? right : left;
            if (!this.#swapIfEarlier(child, i)) {
                return;
            }
            i = child;
        }
    }

    #swapIfEarlier(i: number, other: number): boolean {
        const [a, b] = [this.#heap[i], this.#heap[other]];
        if (a === undefined || b === undefined || !this.#isEarlier(i, other)) {
            return false;
        }
        this.#heap[i] = b;
        this.#heap[other] = a;
        return true;
    }

    #isEarlier(i: number, other: number): boolean {
        const [a, b] = [this.#heap[i], this.#heap[other]];
        if (a === undefined || b === undefined) {
            return a !== undefined;
        }
        return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
    }
}
