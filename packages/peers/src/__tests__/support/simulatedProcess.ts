import { type VirtualClock } from "@galenaglade/stand-ins";
import { Clock } from "../../clock.js";

/** One process of a simulated run: it can be stopped for a while, go on, or end. */
export class SimulatedProcess {
    readonly name: string;
    readonly #time: VirtualClock;
    #state: "running" | "paused" | "ended" = "running";
    #held: (() => void)[] = [];

    constructor(name: string, time: VirtualClock) {
        this.name = name;
        this.#time = time;
    }

    get isRunning(): boolean {
        return this.#state === "running";
    }

    /** Runs a turn of the process; held back while it is paused, lost once it has ended. */
    run(turn: () => void): void {
        if (this.#state === "running") {
            turn();
        }
        else if (this.#state === "paused") {
            this.#held.push(turn);
        }
    }

    pause(): void {
        if (this.#state === "running") {
            this.#state = "paused";
        }
    }

    /** Goes on with everything that came in meanwhile, in its order. */
    resume(): void {
        if (this.#state !== "paused") {
            return;
        }
        this.#state = "running";
        const held = this.#held;
        this.#held = [];
        for (const turn of held) {
            turn();
        }
    }

    end(): void {
        this.#state = "ended";
        this.#held = [];
    }

    createClock(): Clock {
        return new ProcessClock(this, this.#time);
    }
}

class ProcessClock extends Clock {
    readonly #process: SimulatedProcess;
    readonly #time: VirtualClock;

    constructor(process: SimulatedProcess, time: VirtualClock) {
        super();
        this.#process = process;
        this.#time = time;
    }

    override nowMs(): number {
        return this.#time.nowMs;
    }

    override after(delayMs: number, run: () => void): () => void {
        let cancelled = false;
        this.#time.schedule(delayMs, () => {
            this.#process.run(() => {
                if (!cancelled) {
                    run();
                }
            });
        });
        return () => {
            cancelled = true;
        };
    }
}
