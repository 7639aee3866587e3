import { createFailure, type Failure } from "@galenaglade/errors";
import { sleep } from "@galenaglade/http-parts";
import { type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left } from "purify-ts";

/** Asks the store for its revision by the cheapest call, and waits for no longer than whoever asks can. */
export class RevisionReader {
    readonly #store: KeyValueStore;
    readonly #prefix: string;

    /** @param prefix - of few keys */
    constructor(store: KeyValueStore, prefix: string) {
        this.#store = store;
        this.#prefix = prefix;
    }

    /** @returns the store's revision, which may be seconds old, or why it wasn't told in time */
    read(timeoutMs: number): Promise<Either<Failure, number>> {
        const late = sleep(timeoutMs).then(() => Left(createFailure("storeOutcomeUnknown", "no answer in time")));
        return Promise.race([this.#store.peekRevision(this.#prefix), late]);
    }
}
