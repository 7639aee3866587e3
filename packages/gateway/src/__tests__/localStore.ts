import { createFailure, type Failure } from "@galenaglade/errors";
import { type CompareAndSwap, type KeyValue, KeyValueStore, type Lease, type SwapOutcome } from "@galenaglade/platform";
import { KeyValueEngine } from "@galenaglade/stand-ins";
import { type Either, Left, Right } from "purify-ts";

/** An in-process store without lists and watches. */
export class LocalStore extends KeyValueStore {
    readonly #engine = new KeyValueEngine();
    readonly #now: () => number;

    /** @param now - the store's clock */
    constructor(now = () => performance.now()) {
        super();
        this.#now = now;
    }

    override get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        return Promise.resolve(Right(this.#engine.get(key, this.#now())));
    }

    override compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        return Promise.resolve(Right(this.#engine.compareAndSwap(req, this.#now())));
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return Promise.resolve(Right(this.#engine.grantLease(ttlMs, this.#now())));
    }

    override renewLease(id: string): Promise<Either<Failure, Lease>> {
        const lease = this.#engine.renewLease(id, this.#now());
        return Promise.resolve(lease === undefined ? Left(createFailure("notFound", id)) : Right(lease));
    }

    override revokeLease(id: string): Promise<Either<Failure, void>> {
        this.#engine.revokeLease(id, this.#now());
        return Promise.resolve(Right(undefined));
    }

    override list(): Promise<Either<Failure, never>> {
        return Promise.resolve(Left(createFailure("internal", "not in this test")));
    }

    override watch(): Promise<Either<Failure, never>> {
        return Promise.resolve(Left(createFailure("internal", "not in this test")));
    }
}
