import { type Clock } from "@galenaglade/http-parts";
import { admitDuringStartup, type StartupAdmission } from "@galenaglade/placement";
import { awaitFirst } from "../requests/awaitFirst.js";

/** Holds requests that arrive at startup until the fleet's state has been read from the store for the first time. */
export class InitialSyncGate {
    readonly #clock: Clock;
    readonly #onFirstRead: () => void;
    readonly #startedAtMs: number;
    readonly #readFinished: Promise<void>;
    #finishRead: () => void = () => undefined;
    #state: "underWay" | "read" | "failed" = "underWay";
    #heldCount = 0;

    /**
     * @param clock - clock of the process
     * @param onFirstRead - called once, after the first successful read
     */
    constructor(clock: Clock, onFirstRead: () => void = () => undefined) {
        this.#clock = clock;
        this.#onFirstRead = onFirstRead;
        this.#startedAtMs = clock.monotonicMs();
        this.#readFinished = new Promise(resolve => {
            this.#finishRead = resolve;
        });
    }

    /** Releases held requests after a successful read of the store. */
    onStateRead(): void {
        if (this.#state !== "read") {
            this.#onFirstRead();
        }
        this.#state = "read";
        this.#finishRead();
    }

    /** Releases held requests after the first read failed; they are then refused instead of waiting for the store. */
    onReadFailed(): void {
        if (this.#state === "underWay") {
            this.#state = "failed";
            this.#finishRead();
        }
    }

    /**
     * @param patienceMs - the caller's timeout in milliseconds; `undefined` if it sent none
     * @returns whether to hold a request until the store has been read, and for how long
     */
    admit(patienceMs: number | undefined): StartupAdmission {
        return admitDuringStartup({
            readFailed: this.#state !== "underWay",
            held: this.#heldCount,
            sinceStartMs: this.#clock.monotonicMs() - this.#startedAtMs,
            patienceMs,
        });
    }

    /**
     * @param forMs - maximum wait in milliseconds
     * @param signal - ends the wait when it is aborted
     * @returns once the first read has succeeded or failed, or the time is over
     */
    async wait(forMs: number, signal: AbortSignal): Promise<void> {
        this.#heldCount++;
        await awaitFirst([this.#readFinished], signal, forMs);
        this.#heldCount--;
    }
}
