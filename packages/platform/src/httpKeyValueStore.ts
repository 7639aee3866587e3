import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";
import {
    type CompareAndSwap,
    type KeyValue,
    KeyValueStore,
    type Lease,
    type SwapOutcome,
    type WatchEvents,
    type WatchRequest,
} from "./keyValueStore.js";
import { type PlatformClient } from "./platformClient.js";
import { operations } from "./protocol.js";

/** HTTP client of the platform's key-value service. */
export class HttpKeyValueStore extends KeyValueStore {
    readonly #connection: PlatformClient;

    /** @param connection - shared client; closed by its owner */
    constructor(connection: PlatformClient) {
        super();
        this.#connection = connection;
    }

    override async get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        const answer = await this.#connection.call(operations.get, { key });
        return answer.map(({ entry }) => entry);
    }

    override list(
        prefix: string,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        return this.#connection.call(operations.list, { prefix });
    }

    override async compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        const answer = await this.#connection.call(operations.compareAndSwap, req);
        return answer.map(outcome => outcome.swapped ? outcome : { swapped: false, current: outcome.current });
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#connection.call(operations.grantLease, { ttlMs });
    }

    override renewLease(id: string): Promise<Either<Failure, Lease>> {
        return this.#connection.call(operations.renewLease, { id });
    }

    override async revokeLease(id: string): Promise<Either<Failure, void>> {
        const answer = await this.#connection.call(operations.revokeLease, { id });
        return answer.map(() => undefined);
    }

    override watch(
        { prefix, afterRevision, waitMs, slackMs, signal }: WatchRequest,
    ): Promise<Either<Failure, WatchEvents>> {
        return this.#connection.call(operations.watch, { prefix, afterRevision, waitMs }, { waitMs, slackMs, signal });
    }
}
