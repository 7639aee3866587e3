import { createFailure, type Failure } from "@galenaglade/errors";
import {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
} from "@galenaglade/platform";
import { KeyValueEngine } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";

/** An in-process store that supports only the calls that idempotency key claims make. */
export class EngineStore extends KeyValueStore {
    isDown = false;
    calls = 0;
    /** Calls take effect once this promise is settled. */
    ready: Promise<void> = Promise.resolve();
    readonly #engine: KeyValueEngine;

    /** @param engine - data of the store; pass the same engine to share it between gateways */
    constructor(engine = new KeyValueEngine()) {
        super();
        this.#engine = engine;
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return this.#call(() => this.#engine.get(key, 0));
    }

    override compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        return this.#call(() => this.#engine.compareAndSwap(req, 0));
    }

    override list(): Promise<Either<Failure, never>> {
        return this.#refuse();
    }

    override grantLease(): Promise<Either<Failure, Lease>> {
        return this.#refuse();
    }

    override renewLease(): Promise<Either<Failure, Lease>> {
        return this.#refuse();
    }

    override revokeLease(): Promise<Either<Failure, void>> {
        return this.#refuse();
    }

    override watch(): Promise<Either<Failure, WatchEvents>> {
        return this.#refuse();
    }

    async #call<T>(run: () => T): Promise<Either<Failure, T>> {
        this.calls++;
        await this.ready;
        return this.isDown ? await this.#refuse() : Right(run());
    }

    #refuse<T>(): Promise<Either<Failure, T>> {
        return Promise.resolve(Left(createFailure("storeUnavailable", "down")));
    }
}
