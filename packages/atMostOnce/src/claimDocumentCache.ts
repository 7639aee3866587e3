import { type Claim, type ClaimDocument, emptyClaimDocument } from "./claimDocument.js";
import { type ClaimLimits, type ClaimTime } from "./claimMessages.js";

/** A document as last read from or written to the store. */
export interface CachedDocument {
    readonly revision: number;
    readonly document: ClaimDocument;
    /** Monotonic time of the store's reply, in milliseconds. */
    readonly readAtMs: number;
}

/** A claim that prevents its key from being claimed again. */
export interface BlockingClaim {
    readonly bucket: number;
    readonly claim: Claim;
}

const emptyCachedDocument: CachedDocument = Object.freeze({ revision: 0, document: emptyClaimDocument, readAtMs: 0 });

/** Cache of one shard's documents by time bucket. */
export class ClaimDocumentCache {
    readonly #limits: ClaimLimits;
    readonly #cached = new Map<number, CachedDocument>();

    constructor(limits: ClaimLimits) {
        this.#limits = limits;
    }

    get(bucket: number): CachedDocument | undefined {
        return this.#cached.get(bucket);
    }

    /** @returns the cached document of a bucket, or an empty one with revision 0 */
    getOrEmpty(bucket: number): CachedDocument {
        return this.#cached.get(bucket) ?? emptyCachedDocument;
    }

    set(bucket: number, cached: CachedDocument): void {
        this.#cached.set(bucket, cached);
    }

    delete(bucket: number): void {
        this.#cached.delete(bucket);
    }

    /**
     * Whether a document must be read again before it is written. Another gateway has probably written it since, so
     * that a write based on this revision would fail; the store takes ten times as many reads as writes.
     */
    isStale(cached: CachedDocument, time: ClaimTime): boolean {
        return time.nowMs - cached.readAtMs > this.#limits.maxCacheAgeMs;
    }

    /** @returns number of the bucket that accepts new claims */
    openBucket(time: ClaimTime): number {
        let open = Math.floor(time.epochMs / this.#limits.bucketMs);
        for (const [bucket, cached] of this.#cached) {
            // The open bucket never moves back, even if this clock does or is behind those of other gateways.
            open = Math.max(open, cached.document.sealed ? bucket + 1 : bucket);
        }
        return open;
    }

    /** @returns number of the oldest bucket whose claims are still in effect */
    oldestBucket(time: ClaimTime): number {
        return this.openBucket(time) - this.#limits.retainedBuckets;
    }

    /** @returns number of a cached bucket whose claims have expired, if there is one */
    findExpired(time: ClaimTime): number | undefined {
        const oldest = this.oldestBucket(time);
        for (const bucket of this.#cached.keys()) {
            if (bucket < oldest) {
                return bucket;
            }
        }
        return undefined;
    }

    /** @returns the claim that prevents a key from being claimed, if there is one */
    findBlocking(keyDigest: string): BlockingClaim | undefined {
        for (const [bucket, cached] of this.#cached) {
            const claim = cached.document.claims[keyDigest];
            // A claim blocks its key until the request is known not to have run, even if its holder has died: the
            // request may be running, and a second attempt would file the return twice.
            if (claim !== undefined && claim.end?.didRun !== "no") {
                return { bucket, claim };
            }
        }
        return undefined;
    }
}
