import { type Failure } from "@galenaglade/errors";

/** A caller's idempotency key, to be claimed for one try of its request. */
export interface ClaimRequest {
    /** Unique to this try; the store's copy of a claim is recognised by it. */
    readonly nonce: string;
    /** Digest of service and key, in hexadecimal digits. */
    readonly keyDigest: string;
    /** Digest of method, path and body, so that a different request under the same key is found out. */
    readonly fingerprint: string;
    /** Monotonic time in milliseconds at which the claim is refused if it isn't held by then. */
    readonly deadlineMs: number;
}

/** A stored document as the store returned it. */
export interface StoredClaims {
    readonly value: string;
    readonly revision: number;
}

/** Answer of the store to one call of the batcher's. */
export type ClaimStoreReply =
    | { readonly type: "read"; readonly stored: readonly (StoredClaims | undefined)[]; }
    | { readonly type: "swapped"; readonly revision: number; }
    | { readonly type: "notSwapped"; readonly stored: StoredClaims | undefined; };

/** What the batcher wants done. */
export type ClaimCommand =
    /** Reads all keys at the same time; the answer has them in the same order. */
    | { readonly type: "read"; readonly callId: number; readonly keys: readonly string[]; }
    | {
        readonly type: "swap";
        readonly callId: number;
        readonly key: string;
        readonly expectedRevision: number;
        /** `undefined` deletes the document. */
        readonly value: string | undefined;
    }
    /** The key is held; the request may be handed over before `validUntilMs`, checked in the same turn. */
    | { readonly type: "claimed"; readonly nonce: string; readonly validUntilMs: number; }
    | { readonly type: "refused"; readonly nonce: string; readonly failure: Failure; };

/** The present time, twice. */
export interface ClaimTime {
    /** Monotonic milliseconds; every wait and validity is counted on it. */
    readonly nowMs: number;
    /** Wall-clock milliseconds; only the time bucket is taken from it. */
    readonly epochMs: number;
}

/** Numbers of the claims; the same on every gateway. */
export interface ClaimLimits {
    readonly shardCount: number;
    readonly bucketMs: number;
    readonly retainedBuckets: number;
    /** Age up to which a document as last seen is worth a write without another read. */
    readonly maxCacheAgeMs: number;
    readonly validityMs: number;
    readonly storeProbeDelayMs: number;
    readonly failureThreshold: number;
    readonly maxDocumentLength: number;
}
