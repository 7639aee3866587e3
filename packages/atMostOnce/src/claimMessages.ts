import { type Failure } from "@galenaglade/errors";

/** Request to claim a caller's idempotency key for one attempt of its request. */
export interface ClaimRequest {
    /** Unique to this attempt; identifies the gateway's own claim in the store. */
    readonly nonce: string;
    /** Hexadecimal digest of service and key. */
    readonly keyDigest: string;
    /** Digest of method, path and body, to detect a different request with the same key. */
    readonly fingerprint: string;
    /** Monotonic time in milliseconds at which the claim is refused if it has not been acquired. */
    readonly deadlineMs: number;
}

/** A document as returned by the store. */
export interface StoredClaims {
    readonly value: string;
    readonly revision: number;
}

/** Reply of the store to one call of the batcher. */
export type ClaimStoreReply =
    | { readonly type: "read"; readonly stored: readonly (StoredClaims | undefined)[]; }
    | { readonly type: "swapped"; readonly revision: number; }
    | { readonly type: "notSwapped"; readonly stored: StoredClaims | undefined; };

/** Command of the batcher, to be executed by the gateway. */
export type ClaimCommand =
    /** Reads all keys concurrently; the reply has the documents in the same order. */
    | { readonly type: "read"; readonly callId: number; readonly keys: readonly string[]; }
    | {
        readonly type: "swap";
        readonly callId: number;
        readonly key: string;
        readonly expectedRevision: number;
        /** `undefined` deletes the document. */
        readonly value: string | undefined;
    }
    /** The key is claimed; the request may be sent before `validUntilMs`, to be checked in the same turn. */
    | { readonly type: "claimed"; readonly nonce: string; readonly validUntilMs: number; }
    | { readonly type: "refused"; readonly nonce: string; readonly failure: Failure; };

/** Current time on two clocks. */
export interface ClaimTime {
    /** Monotonic time in milliseconds, used for all timeouts and validity periods. */
    readonly nowMs: number;
    /** Wall-clock time in milliseconds since the Unix epoch, used only to select the time bucket. */
    readonly epochMs: number;
}

/** Limits of claims; the same on every gateway. */
export interface ClaimLimits {
    readonly shardCount: number;
    readonly bucketMs: number;
    readonly retainedBuckets: number;
    /** Maximum age of a cached document that is written without being read again. */
    readonly maxCacheAgeMs: number;
    readonly validityMs: number;
    readonly storeProbeDelayMs: number;
    readonly failureThreshold: number;
    readonly maxDocumentLength: number;
}
