import { type Clock } from "@galenaglade/http-parts";
import { type StartupRequest, StartupQueue, startupQueueMs } from "@galenaglade/placement";

/** A request's permit to look for a server, which its holder releases. */
export interface StartupPermit {
    onSent(): void;
    onEnded(): void;
}

type Waiter = () => void;

/** Limits how many requests look for a server at once during the first seconds of the process. */
export class StartupGate {
    readonly #clock: Clock;
    readonly #turns: StartupQueue<Waiter>;

    /** @param clock - clock of the process; the first seconds begin with this call */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#turns = new StartupQueue(clock.monotonicMs());
        setTimeout(() => this.#takeTurns(), startupQueueMs).unref();
    }

    /** Whether requests need a permit now. */
    get isActive(): boolean {
        return this.#turns.isActive(this.#clock.monotonicMs());
    }

    /**
     * Waits for a permit.
     *
     * @param request - decides the order of the waiting requests
     * @param signal - ends the wait when it is aborted
     * @returns the permit; after an abort, one that counts for nothing
     */
    async acquire(request: StartupRequest, signal: AbortSignal): Promise<StartupPermit> {
        let begin: Waiter = () => undefined;
        const begun = new Promise<void>(resolve => {
            begin = resolve;
        });
        this.#turns.enqueue(request, begin);
        this.#takeTurns();
        // A request that is aborted while it waits goes on at once, so that its caller gets a response.
        const leave = (): void => {
            this.#turns.remove(begin);
            begin();
        };
        signal.addEventListener("abort", leave);
        if (signal.aborted) {
            leave();
        }
        await begun;
        signal.removeEventListener("abort", leave);
        return {
            onSent: () => {
                this.#turns.onSent(begin);
                this.#takeTurns();
            },
            onEnded: () => {
                this.#turns.onEnded(begin);
                this.#takeTurns();
            },
        };
    }

    #takeTurns(): void {
        for (const { item } of this.#turns.takeReady(this.#clock.monotonicMs())) {
            item();
        }
    }
}
