import { type Failure } from "@galenaglade/errors";
import { type Either } from "purify-ts";

/** One key of the platform's key-value service. */
export interface KeyValue {
    readonly key: string;
    /** At most one megabyte. */
    readonly value: string;
    /**
     * The store's revision at which this value was written; rises over the whole store, also where this came back from an older copy: then
     * the store's term is part of it.
     */
    readonly modifiedRevision: number;
    /** The lease that the key falls with, where it has one. */
    readonly leaseId?: string | undefined;
}

/** A write that takes effect only while the key is as expected. */
export interface CompareAndSwap {
    readonly key: string;
    /** The {@link KeyValue.modifiedRevision} that the key must have; 0 where it must not exist. */
    readonly expectedRevision: number;
    /** The new value; `undefined` deletes the key. */
    readonly value: string | undefined;
    /** The key falls when this lease lapses or is revoked. */
    readonly leaseId?: string | undefined;
}

/** How a compare-and-swap ended. */
export type SwapOutcome =
    | { readonly swapped: true; readonly revision: number; }
    | { readonly swapped: false; readonly current: KeyValue | undefined; };

/** A lease as granted. The holder counts its time from before it asked. */
export interface Lease {
    readonly id: string;
    readonly ttlMs: number;
}

/** What a watch saw. */
export interface WatchEvents {
    /** Watch on from here. */
    readonly revision: number;
    /** Keys changed since, in their present state. */
    readonly changed: readonly KeyValue[];
    /** Keys gone since. */
    readonly deleted: readonly string[];
}

/** What a watch waits for. */
export interface WatchRequest {
    readonly prefix: string;
    /** Report what changed after this revision of the store. */
    readonly afterRevision: number;
    /** Return with no events after this long; counts as one call of the store. */
    readonly waitMs: number;
    /** Time beyond the wait in which the answer must come, in milliseconds; left out, that of any call. */
    readonly slackMs?: number | undefined;
    /** Called as the answer arrives, with the bytes of it that have, where the store tells. */
    readonly onProgress?: ((bytes: number) => void) | undefined;
    readonly signal?: AbortSignal | undefined;
}

/**
 * The platform's key-value service.
 *
 * Failures: `storeUnavailable` means that the call certainly had no effect, `storeOutcomeUnknown` that a write may
 * have taken effect although its answer was lost, `storeRateLimited` that it was refused for its rate.
 */
export abstract class KeyValueStore {
    /**
     * How often the store came back from an older copy, as far as its answers say. What was read in an earlier term has to be read anew:
     * a watch from there fails with `storeHistoryLost`, and a lease from there with `notFound`.
     */
    get term(): number {
        return 0;
    }

    /** Reads one key; `undefined` where it doesn't exist. */
    abstract get(key: string): Promise<Either<Failure, KeyValue | undefined>>;
    /**
     * Reads every key that begins with `prefix`, in order, with the store's revision for a watch to go on from.
     *
     * @param prefix - of the keys
     * @param onPart - called with what has been read so far, where the store gives it in parts; not with the last one
     */
    abstract list(
        prefix: string,
        onPart?: (entries: readonly KeyValue[]) => void,
    ): Promise<Either<Failure, { readonly revision: number; readonly entries: readonly KeyValue[]; }>>;
    abstract compareAndSwap(req: CompareAndSwap): Promise<Either<Failure, SwapOutcome>>;
    abstract grantLease(ttlMs: number): Promise<Either<Failure, Lease>>;
    /** Renews a lease; a lapsed one fails with `notFound`. */
    abstract renewLease(id: string): Promise<Either<Failure, Lease>>;
    /** Ends a lease at once; its keys fall. */
    abstract revokeLease(id: string): Promise<Either<Failure, void>>;
    abstract watch(req: WatchRequest): Promise<Either<Failure, WatchEvents>>;

    /**
     * Finds out by the cheapest call whether the store answers, and how far its changes go.
     *
     * @param prefix - of few keys
     * @returns the store's revision, which may be seconds old
     */
    async peekRevision(prefix: string): Promise<Either<Failure, number>> {
        const read = await this.list(prefix);
        return read.map(({ revision }) => revision);
    }
}
