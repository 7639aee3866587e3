import { type Clock } from "@galenaglade/http-parts";
import { type TestContext } from "node:test";
import { setImmediate as drainMicrotasks } from "node:timers/promises";

interface Timer {
    readonly id: number;
    readonly dueMs: number;
    readonly run: () => void;
    /** Period of an interval in milliseconds; `undefined` for a timeout. */
    readonly everyMs: number | undefined;
}

/** Wall-clock time at the start, in milliseconds since the epoch. */
const epochMs = 1_000_000;
/** Steps of a promise chain that run after a timer, before the next one. */
const microtasksPerTimer = 50;
/** Maximum number of timer events; a simulation with more of them never ends. */
const maxEvents = 5_000_000;

/**
 * Clock that advances from timer to timer and replaces the timers of the process: real code that sleeps runs hours in
 * seconds, and deterministically.
 */
export class VirtualClock implements Clock {
    #nowMs = 0;
    #lastId = 0;
    #events = 0;
    readonly #timers = new Map<number, Timer>();
    /** Min-heap of timers by due time; cleared timers stay in it until they are due. */
    readonly #heap: Timer[] = [];
    readonly #turnsPerEvent: number;

    private constructor(turnsPerEvent: number) {
        this.#turnsPerEvent = turnsPerEvent;
    }

    /**
     * Replaces the timers of the process until the test is over.
     *
     * @param t - the test
     * @param turnsPerEvent - turns of the event loop that the code gets before the time goes on
     */
    static install(t: TestContext, turnsPerEvent = 1): VirtualClock {
        const clock = new VirtualClock(turnsPerEvent);
        const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
        t.after(() => Object.assign(globalThis, { setTimeout, setInterval, clearTimeout, clearInterval }));
        const clear = (id: unknown): void => {
            clock.#timers.delete(Number(id));
        };
        Object.assign(globalThis, {
            setTimeout: (run: (...args: unknown[]) => void, ms = 0, ...args: unknown[]) =>
                clock.#add(() => run(...args), ms, undefined),
            setInterval: (run: () => void, ms: number) => clock.#add(run, ms, ms),
            clearTimeout: clear,
            clearInterval: clear,
        });
        return clock;
    }

    monotonicMs(): number {
        return this.#nowMs;
    }

    epochMs(): number {
        return epochMs + this.#nowMs;
    }

    /** Advances the time and runs all timers that are due by then. */
    async advance(ms: number): Promise<void> {
        const untilMs = this.#nowMs + ms;
        await this.#runTurns();
        for (let next = this.#heap[0]; next !== undefined && next.dueMs <= untilMs; next = this.#heap[0]) {
            this.#dropFirst();
            if (this.#timers.get(next.id) !== next) {
                continue;
            }
            if (++this.#events > maxEvents) {
                throw new Error(`too many timer events by ${this.#nowMs} ms: the simulation doesn't end`);
            }
            this.#nowMs = next.dueMs;
            this.#timers.delete(next.id);
            if (next.everyMs !== undefined) {
                this.#insert({ ...next, dueMs: this.#nowMs + next.everyMs });
            }
            next.run();
            await this.#runTurns();
        }
        this.#nowMs = untilMs;
    }

    /**
     * Lets the time pass within one turn of the event loop, as in a process that is busy or suspended: the timers that
     * are due by then run before any input is read.
     *
     * @param ms - duration of the turn
     * @param readInput - reads what has arrived meanwhile
     */
    async stall(ms: number, readInput: () => void): Promise<void> {
        this.#nowMs += ms;
        for (let next = this.#heap[0]; next !== undefined && next.dueMs <= this.#nowMs; next = this.#heap[0]) {
            this.#dropFirst();
            if (this.#timers.delete(next.id)) {
                next.run();
                for (let i = 0; i < microtasksPerTimer; i++) {
                    await Promise.resolve();
                }
            }
        }
        readInput();
        await this.#runTurns();
    }

    async #runTurns(): Promise<void> {
        for (let i = 0; i < this.#turnsPerEvent; i++) {
            await drainMicrotasks();
        }
    }

    /** Removes all pending timers, so that another simulation can begin. */
    clear(): void {
        this.#timers.clear();
        this.#heap.length = 0;
        this.#events = 0;
    }

    #add(run: () => void, ms: number, everyMs: number | undefined): number {
        const id = ++this.#lastId;
        this.#insert({ id, dueMs: this.#nowMs + Math.max(0, ms), run, everyMs });
        return id;
    }

    #insert(timer: Timer): void {
        this.#timers.set(timer.id, timer);
        let at = this.#heap.push(timer) - 1;
        while (at > 0) {
            const parent = (at - 1) >> 1;
            if (!isSooner(timer, this.#heap[parent])) {
                break;
            }
            this.#heap[at] = this.#heap[parent] ?? timer;
            at = parent;
        }
        this.#heap[at] = timer;
    }

    #dropFirst(): void {
        const last = this.#heap.pop();
        if (last === undefined || this.#heap.length === 0) {
            return;
        }
        let at = 0;
        for (;;) {
            const left = 2 * at + 1;
            const child = isSooner(this.#heap[left + 1], this.#heap[left]) ? left + 1 : left;
            const soonest = this.#heap[child];
            if (soonest === undefined || !isSooner(soonest, last)) {
                break;
            }
            this.#heap[at] = soonest;
            at = child;
        }
        this.#heap[at] = last;
    }
}

function isSooner(a: Timer | undefined, b: Timer | undefined): boolean {
    return a !== undefined && (b === undefined || a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.id < b.id));
}
