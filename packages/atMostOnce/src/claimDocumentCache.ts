import { type Claim, type ClaimDocument, emptyClaimDocument } from "./claimDocument.js";
import { type ClaimLimits, type ClaimTime } from "./claimMessages.js";

/** A document as the store last showed it. */
export interface CachedDocument {
    readonly revision: number;
    readonly document: ClaimDocument;
    /** Monotonic time at which the store's answer came. */
    readonly readAtMs: number;
}

/** A claim that keeps its key from being claimed again. */
export interface BlockingClaim {
    readonly bucket: number;
    readonly claim: Claim;
}

const unseen: CachedDocument = Object.freeze({ revision: 0, document: emptyClaimDocument, readAtMs: 0 });

/** One shard's documents as one gateway has seen them, by time bucket. */
export class ClaimDocumentCache {
    readonly #limits: ClaimLimits;
    readonly #seen = new Map<number, CachedDocument>();

    constructor(limits: ClaimLimits) {
        this.#limits = limits;
    }

    get(bucket: number): CachedDocument | undefined {
        return this.#seen.get(bucket);
    }

    /** @returns what was seen of a bucket, or an empty document that does not exist yet */
    getOrEmpty(bucket: number): CachedDocument {
        return this.#seen.get(bucket) ?? unseen;
    }

    set(bucket: number, seen: CachedDocument): void {
        this.#seen.set(bucket, seen);
    }

    delete(bucket: number): void {
        this.#seen.delete(bucket);
    }

    /**
     * Another gateway has probably written a document that was seen some time ago: a write on this revision would be
     * spent in vain, and the store takes ten times as many reads as writes.
     */
    isStale(seen: CachedDocument, time: ClaimTime): boolean {
        return time.nowMs - seen.readAtMs > this.#limits.maxCacheAgeMs;
    }

    /** @returns the bucket that takes new claims */
    openBucket(time: ClaimTime): number {
        let open = Math.floor(time.epochMs / this.#limits.bucketMs);
        for (const [bucket, seen] of this.#seen) {
            // Buckets never go back, neither for a clock that does nor for one that is behind the others'.
            open = Math.max(open, seen.document.sealed ? bucket + 1 : bucket);
        }
        return open;
    }

    /** @returns the oldest bucket whose claims still count */
    oldestBucket(time: ClaimTime): number {
        return this.openBucket(time) - this.#limits.retainedBuckets;
    }

    /** @returns a bucket whose claims count no longer */
    findExpired(time: ClaimTime): number | undefined {
        const oldest = this.oldestBucket(time);
        for (const bucket of this.#seen.keys()) {
            if (bucket < oldest) {
                return bucket;
            }
        }
        return undefined;
    }

    /** @returns the claim that keeps a key from being claimed, where there is one */
    findBlocking(keyDigest: string): BlockingClaim | undefined {
        for (const [bucket, seen] of this.#seen) {
            const claim = seen.document.claims[keyDigest];
            // A claim blocks until its request is known not to have run. Its holder's death frees nothing: the
            // request may be running, and a second try would file the return twice.
            if (claim !== undefined && claim.end?.didRun !== "no") {
                return { bucket, claim };
            }
        }
        return undefined;
    }
}
