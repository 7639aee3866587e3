import { type Clock } from "@galenaglade/http-parts";
import { type StartupRequest, StartupQueue, startupQueueMs } from "@galenaglade/placement";

/** A request's turn, which its owner ends. */
export interface StartupPermit {
    onSent(): void;
    onEnded(): void;
}

type Waiter = () => void;

/** Has requests of the process's first seconds wait for their turn to look for a server. */
export class StartupGate {
    readonly #clock: Clock;
    readonly #turns: StartupQueue<Waiter>;

    /** @param clock - the process's clock; its first seconds begin now */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#turns = new StartupQueue(clock.monotonicMs());
        setTimeout(() => this.#takeTurns(), startupQueueMs).unref();
    }

    /** Whether requests take turns now. */
    get isActive(): boolean {
        return this.#turns.isActive(this.#clock.monotonicMs());
    }

    /**
     * @param request - what decides when its turn comes
     * @param signal - aborted when the request waits no longer
     * @returns the request's turn, once it has come or the request waits no longer
     */
    async acquire(request: StartupRequest, signal: AbortSignal): Promise<StartupPermit> {
        let begin: Waiter = () => undefined;
        const begun = new Promise<void>(resolve => {
            begin = resolve;
        });
        this.#turns.enqueue(request, begin);
        this.#takeTurns();
        // A request that is due must get its answer whoever's turn it is.
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
