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
    readonly #queue: StartupQueue<Waiter>;

    /** @param clock - clock of the process; the first seconds begin with this call */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#queue = new StartupQueue(clock.monotonicMs());
        setTimeout(() => this.#startReady(), startupQueueMs).unref();
    }

    /** Whether requests need a permit now. */
    get isActive(): boolean {
        return this.#queue.isActive(this.#clock.monotonicMs());
    }

    /**
     * Waits for a permit.
     *
     * @param request - decides the order of the waiting requests
     * @param signal - ends the wait when it is aborted
     * @returns the permit; after an abort, one that counts for nothing
     */
    async acquire(request: StartupRequest, signal: AbortSignal): Promise<StartupPermit> {
        let start: Waiter = () => undefined;
        const started = new Promise<void>(resolve => {
            start = resolve;
        });
        this.#queue.enqueue(request, start);
        this.#startReady();
        // A request that is aborted while it waits goes on at once, so that its caller gets a response.
        const cancel = (): void => {
            this.#queue.remove(start);
            start();
        };
        signal.addEventListener("abort", cancel);
        if (signal.aborted) {
            cancel();
        }
        await started;
        signal.removeEventListener("abort", cancel);
        return {
            onSent: () => {
                this.#queue.onSent(start);
                this.#startReady();
            },
            onEnded: () => {
                this.#queue.onEnded(start);
                this.#startReady();
            },
        };
    }

    #startReady(): void {
        for (const { item } of this.#queue.takeReady(this.#clock.monotonicMs())) {
            item();
        }
    }
}
