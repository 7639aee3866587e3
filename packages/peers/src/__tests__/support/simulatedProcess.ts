import { type VirtualClock } from "@galenaglade/stand-ins";
import { Clock } from "../../clock.js";

/** A process in a simulation, which can be paused, resumed and ended. */
export class SimulatedProcess {
    readonly name: string;
    readonly #time: VirtualClock;
    #state: "running" | "paused" | "ended" = "running";
    #deferred: (() => void)[] = [];

    constructor(name: string, time: VirtualClock) {
        this.name = name;
        this.#time = time;
    }

    get isRunning(): boolean {
        return this.#state === "running";
    }

    /** Runs a turn of the process; it is deferred while the process is paused, and dropped after its end. */
    run(turn: () => void): void {
        if (this.#state === "running") {
            turn();
        }
        else if (this.#state === "paused") {
            this.#deferred.push(turn);
        }
    }

    pause(): void {
        if (this.#state === "running") {
            this.#state = "paused";
        }
    }

    /** Resumes the process and runs all deferred turns in order. */
    resume(): void {
        if (this.#state !== "paused") {
            return;
        }
        this.#state = "running";
        const held = this.#deferred;
        this.#deferred = [];
        for (const turn of held) {
            turn();
        }
    }

    end(): void {
        this.#state = "ended";
        this.#deferred = [];
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
