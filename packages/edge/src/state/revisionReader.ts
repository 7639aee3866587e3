import { createFailure, type Failure } from "@galenaglade/errors";
import { sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left } from "purify-ts";

/** Reads the store's revision with its cheapest call, with a timeout of the caller's choice. */
export class RevisionReader {
    readonly #store: KeyValueStore;
    readonly #prefix: string;

    /**
     * @param store - the store
     * @param prefix - a prefix that few keys have, to keep the response small
     */
    constructor(store: KeyValueStore, prefix: string) {
        this.#store = store;
        this.#prefix = prefix;
    }

    /**
     * @param timeoutMs - timeout in milliseconds
     * @returns the store's revision, which may be seconds out of date, or a failure
     */
    read(timeoutMs: number): Promise<Either<Failure, number>> {
        const timedOut = sleep(timeoutMs).then(() => Left(createFailure("storeOutcomeUnknown", "no answer in time")));
        return Promise.race([this.#store.peekRevision(this.#prefix), timedOut]);
    }
}
