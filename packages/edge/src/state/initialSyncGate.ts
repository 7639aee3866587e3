import { type Clock, sleep } from "@galenaglade/http-parts";
import { admitDuringStartup, type StartupAdmission } from "@galenaglade/placement";

/** Holds what arrives before the store has been read for the first time. */
export class InitialSyncGate {
    readonly #clock: Clock;
    readonly #onFirstRead: () => void;
    readonly #startedAtMs: number;
    readonly #ended: Promise<void>;
    #end: () => void = () => undefined;
    #state: "underWay" | "read" | "failed" = "underWay";
    #held = 0;

    /**
     * @param clock - the process's clock
     * @param onFirstRead - called once, when the fleet is known
     */
    constructor(clock: Clock, onFirstRead: () => void = () => undefined) {
        this.#clock = clock;
        this.#onFirstRead = onFirstRead;
        this.#startedAtMs = clock.monotonicMs();
        this.#ended = new Promise(resolve => {
            this.#end = resolve;
        });
    }

    /** The store has been read. */
    onStateRead(): void {
        if (this.#state !== "read") {
            this.#onFirstRead();
        }
        this.#state = "read";
        this.#end();
    }

    /** The store refused the reading, or didn't answer. */
    onReadFailed(): void {
        if (this.#state === "underWay") {
            this.#state = "failed";
            this.#end();
        }
    }

    /**
     * @param patienceMs - how long the caller waits; `undefined` where it doesn't say
     * @returns whether a request is worth holding until the store has been read
     */
    admit(patienceMs: number | undefined): StartupAdmission {
        return admitDuringStartup({
            readFailed: this.#state !== "underWay",
            held: this.#held,
            sinceStartMs: this.#clock.monotonicMs() - this.#startedAtMs,
            patienceMs,
        });
    }

    /** @returns once the reading has ended, or the time is over */
    async wait(forMs: number): Promise<void> {
        this.#held++;
        await Promise.race([this.#ended, sleep(forMs)]);
        this.#held--;
    }
}
