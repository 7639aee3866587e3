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
    readonly #client: PlatformClient;

    /** @param client - shared client; closed by its owner */
    constructor(client: PlatformClient) {
        super();
        this.#client = client;
    }

    override async get(key: string): Promise<Either<Failure, KeyValue | undefined>> {
        const response = await this.#client.call(operations.get, { key });
        return response.map(({ entry }) => entry);
    }

    override list(
        prefix: string,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>> {
        return this.#client.call(operations.list, { prefix });
    }

    override async compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>> {
        const response = await this.#client.call(operations.compareAndSwap, req);
        return response.map(outcome => outcome.swapped ? outcome : { swapped: false, current: outcome.current });
    }

    override grantLease(ttlMs: number): Promise<Either<Failure, Lease>> {
        return this.#client.call(operations.grantLease, { ttlMs });
    }

    override renewLease(id: string): Promise<Either<Failure, Lease>> {
        return this.#client.call(operations.renewLease, { id });
    }

    override async revokeLease(id: string): Promise<Either<Failure, void>> {
        const response = await this.#client.call(operations.revokeLease, { id });
        return response.map(() => undefined);
    }

    override watch(
        { prefix, afterRevision, waitMs, slackMs, signal }: WatchRequest,
    ): Promise<Either<Failure, WatchEvents>> {
        return this.#client.call(operations.watch, { prefix, afterRevision, waitMs }, { waitMs, slackMs, signal });
    }
}
