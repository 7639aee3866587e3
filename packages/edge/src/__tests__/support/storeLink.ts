import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "@galenaglade/platform";
import { type Either, Left } from "purify-ts";
import { type MemoryStore } from "./memoryStore.js";

/** One gateway's link to a store that several gateways share. */
export class StoreLink extends KeyValueStore {
    /** Whether calls get no response. */
    isCut = false;
    /** Whether calls are refused at once. */
    isRefusing = false;
    calls = 0;
    readonly #store: MemoryStore;

    constructor(store: MemoryStore) {
        super();
        this.#store = store;
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return this.#call(() => this.#store.get(key));
    }

    override list(
        prefix: string,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        return this.#call(() => this.#store.list(prefix));
    }

    override compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        return this.#call(() => this.#store.compareAndSwap(req));
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#call(() => this.#store.grantLease(ttlMs));
    }

    override renewLease(id: string): Promise<Either<Failure, Lease>> {
        return this.#call(() => this.#store.renewLease(id));
    }

    override revokeLease(id: string): Promise<Either<Failure, void>> {
        return this.#call(() => this.#store.revokeLease(id));
    }

    override async watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>> {
        const events = await this.#call(() => this.#store.watch(req), req.signal);
        // A watch whose link is cut while it is pending gets no response.
        return this.isCut ? this.#timeOut(req.signal) : events;
    }

    #call<T>(run: () => Promise<Either<Failure, T>>, signal?: AbortSignal): Promise<Either<Failure, T>> {
        this.calls++;
        if (this.isCut) {
            return this.#timeOut(signal);
        }
        return this.isRefusing ? Promise.resolve(Left(createFailure("storeUnavailable", "refused"))) : run();
    }

    #timeOut<T>(signal: AbortSignal | undefined): Promise<Either<Failure, T>> {
        const timedOut = Left(createFailure("storeOutcomeUnknown", "no answer"));
        return new Promise(resolve => {
            const timer = setTimeout(() => resolve(timedOut), 800);
            signal?.addEventListener("abort", () => {
                clearTimeout(timer);
                resolve(timedOut);
            }, { once: true });
        });
    }
}
