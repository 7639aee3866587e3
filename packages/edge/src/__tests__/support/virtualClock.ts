import { type Clock } from "@galenaglade/http-parts";
import { type TestContext } from "node:test";
import { setImmediate as drainMicrotasks } from "node:timers/promises";

interface Timer {
    readonly id: number;
    readonly dueMs: number;
    readonly run: () => void;
    /** Of an interval. */
    readonly everyMs: number | undefined;
}

/** The start of wall-clock time, in milliseconds. */
const epochMs = 1_000_000;
/** A world that goes on longer than this hangs. */
const mostEvents = 5_000_000;

/**
 * Time that passes from timer to timer, in place of the process's own: real code that sleeps and waits runs hours in seconds, and
 * the same in each run.
 */
export class VirtualClock implements Clock {
    #nowMs = 0;
    #lastId = 0;
    #events = 0;
    readonly #timers = new Map<number, Timer>();
    /** Timers as a heap, soonest first, with those that were cleared in it until they are due. */
    readonly #heap: Timer[] = [];

    /** Takes the place of the process's timers until the test is over. */
    static install(t: TestContext): VirtualClock {
        const time = new VirtualClock();
        const { setTimeout, setInterval, clearTimeout, clearInterval } = globalThis;
        t.after(() => Object.assign(globalThis, { setTimeout, setInterval, clearTimeout, clearInterval }));
        const clear = (id: unknown): void => {
            time.#timers.delete(Number(id));
        };
        Object.assign(globalThis, {
            setTimeout: (run: (...args: unknown[]) => void, ms = 0, ...args: unknown[]) =>
                time.#add(() => run(...args), ms, undefined),
            setInterval: (run: () => void, ms: number) => time.#add(run, ms, ms),
            clearTimeout: clear,
            clearInterval: clear,
        });
        return time;
    }

    monotonicMs(): number {
        return this.#nowMs;
    }

    epochMs(): number {
        return epochMs + this.#nowMs;
    }

    /** Lets time pass. */
    async advance(ms: number): Promise<void> {
        const untilMs = this.#nowMs + ms;
        await drainMicrotasks();
        for (let next = this.#heap[0]; next !== undefined && next.dueMs <= untilMs; next = this.#heap[0]) {
            this.#dropFirst();
            if (this.#timers.get(next.id) !== next) {
                continue;
            }
            if (++this.#events > mostEvents) {
                throw new Error(`the world didn't come to rest by ${this.#nowMs} ms`);
            }
            this.#nowMs = next.dueMs;
            this.#timers.delete(next.id);
            if (next.everyMs !== undefined) {
                this.#insert({ ...next, dueMs: this.#nowMs + next.everyMs });
            }
            next.run();
            await drainMicrotasks();
        }
        this.#nowMs = untilMs;
    }

    /** Drops whatever still waits, so that another world can begin. */
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
