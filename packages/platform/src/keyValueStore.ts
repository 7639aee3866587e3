import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";

/** One entry of the platform's key-value service. */
export interface KeyValue {
    readonly key: string;
    /** At most 1 MiB. */
    readonly value: string;
    /**
     * The store-wide revision at which this value was written. It keeps increasing when the store is restored from a
     * backup, because the store's term is part of it then.
     */
    readonly modifiedRevision: number;
    /** The lease that the key is attached to; the key is deleted when the lease ends. */
    readonly leaseId?: string | undefined;
}

/** A write that takes effect only if the key has the expected revision. */
export interface CompareAndSwap {
    readonly key: string;
    /** Required {@link KeyValue.modifiedRevision} of the key; 0 requires that the key doesn't exist. */
    readonly expectedRevision: number;
    /** The new value; `undefined` deletes the key. */
    readonly value: string | undefined;
    /** The key is deleted when this lease expires or is revoked. */
    readonly leaseId?: string | undefined;
}

/** Result of a compare-and-swap; when it fails, `current` is the present entry. */
export type SwapOutcome =
    | { readonly swapped: true; readonly revision: number; }
    | { readonly swapped: false; readonly current: KeyValue | undefined; };

/**
 * A granted lease. The holder must count `ttlMs` from before it sent the call, since the server counts from some point
 * after that.
 */
export interface Lease {
    readonly id: string;
    readonly ttlMs: number;
}

/** Result of one watch call. */
export interface WatchEvents {
    /** Revision from which to continue the watch. */
    readonly revision: number;
    /** Current state of the keys that changed. */
    readonly changed: readonly KeyValue[];
    /** Keys that were deleted. */
    readonly deleted: readonly string[];
}

/** Parameters of one long-polling watch call. */
export interface WatchRequest {
    readonly prefix: string;
    /** Only changes after this store revision are reported. */
    readonly afterRevision: number;
    /** Long-poll time in milliseconds, after which the call returns without events; counts as one store call. */
    readonly waitMs: number;
    /**
     * Time after `waitMs` within which the response must arrive, in milliseconds; the usual call timeout by default.
     */
    readonly slackMs?: number | undefined;
    /**
     * Called while the response is being received, with the number of bytes so far; not every store implementation
     * calls it.
     */
    readonly onProgress?: ((bytes: number) => void) | undefined;
    readonly signal?: AbortSignal | undefined;
}

/**
 * Client of the platform's key-value service.
 *
 * Failures: `storeUnavailable` means that the call had no effect, `storeOutcomeUnknown` that a write may have taken
 * effect because its response was lost, `storeRateLimited` that the call was rejected by a rate limit.
 */
export abstract class KeyValueStore {
    /**
     * Latest known term of the store, which increases with each restore from a backup. Data of an earlier term must be
     * read again: a watch from a revision of an earlier term fails with `storeHistoryLost`, and renewing or using a
     * lease of an earlier term with `notFound`.
     */
    get term(): number {
        return 0;
    }

    /** Reads one key; `undefined` if it doesn't exist. */
    abstract get(key: string): Promise<Either<Failure, KeyValue | undefined>>;
    /**
     * Reads all keys that begin with `prefix`, in key order.
     *
     * @param prefix - key prefix
     * @param onPart - called with the entries read so far after each page except the last, if the store returns pages
     * @returns the entries, and the store revision from which a watch continues
     */
    abstract list(
        prefix: string,
        onPart?: (entries: readonly KeyValue[]) => void,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>>;
    abstract compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>>;
    abstract grantLease(ttlMs: number): Promise<Either<Failure, Lease>>;
    /** Renews a lease; fails with `notFound` if it has expired. */
    abstract renewLease(id: string): Promise<Either<Failure, Lease>>;
    /** Ends a lease immediately and deletes its keys. */
    abstract revokeLease(id: string): Promise<Either<Failure, void>>;
    abstract watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>>;

    /**
     * Checks with the cheapest possible call whether the store responds, and reads its revision.
     *
     * @param prefix - prefix that few keys have
     * @returns the store's revision, which may be seconds out of date
     */
    async peekRevision(prefix: string): Promise<Either<Failure, number>> {
        const read = await this.list(prefix);
        return read.map(({ revision }) => revision);
    }
}
