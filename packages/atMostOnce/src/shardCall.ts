import { type Failure } from "@galenaglade/errors";
import { type ClaimDocument, type ClaimEnd } from "./claimDocument.js";
import { type ClaimRequest } from "./claimMessages.js";

/** A store call of a shard; a shard has at most one in flight. */
export interface ShardCall {
    readonly type: "read" | "swap" | "delete";
    /** Several buckets for a read, one for a write. */
    readonly buckets: readonly number[];
    readonly expectedRevision: number;
    /** The document that a swap writes. */
    readonly document: ClaimDocument;
    readonly value: string | undefined;
    /** Nonces of the claims that were waiting when the call was made, for which the reply is recent enough. */
    readonly waitingNonces: readonly string[];
}

/** Result of a requested claim. */
export type ClaimVerdict =
    | { readonly type: "claimed"; readonly nonce: string; readonly validUntilMs: number; }
    | { readonly type: "refused"; readonly nonce: string; readonly failure: Failure; };

/** A claim that waits to be written or confirmed. */
export interface WaitingClaim {
    readonly req: ClaimRequest;
    /** Buckets read or written since the claim was requested. */
    readonly readBuckets: Set<number>;
    firstSentAtMs: number | undefined;
}

/** Location of a claim in the store. */
export interface ClaimLocation {
    readonly bucket: number;
    readonly keyDigest: string;
}

/** A claim whose write was sent. */
export interface SentClaim extends ClaimLocation {
    readonly expectedRevision: number;
}

/** The end of a claimed request that is still to be written. */
export interface PendingEnd extends ClaimLocation {
    readonly end: ClaimEnd;
}
