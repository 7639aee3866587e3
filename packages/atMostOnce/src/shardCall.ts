import { type Failure } from "@galenaglade/errors";
import { type ClaimDocument, type ClaimEnd } from "./claimDocument.js";
import { type ClaimRequest } from "./claimMessages.js";

/** One call that a shard wants made; a shard has at most one under way. */
export interface ShardCall {
    readonly type: "read" | "swap" | "delete";
    /** Several for a read, one for a write. */
    readonly buckets: readonly number[];
    readonly expectedRevision: number;
    /** What a swap writes. */
    readonly document: ClaimDocument;
    readonly value: string | undefined;
    /** Claims that waited when the call was made; the answer is fresh for them. */
    readonly waitingNonces: readonly string[];
}

/** What became of a claim. */
export type ClaimVerdict =
    | { readonly type: "claimed"; readonly nonce: string; readonly validUntilMs: number; }
    | { readonly type: "refused"; readonly nonce: string; readonly failure: Failure; };

/** A claim that waits for its turn or for its answer. */
export interface WaitingClaim {
    readonly req: ClaimRequest;
    /** Buckets read since the claim arrived. */
    readonly readBuckets: Set<number>;
    firstSentAtMs: number | undefined;
}

/** Where a claim lies. */
export interface ClaimLocation {
    readonly bucket: number;
    readonly keyDigest: string;
}

/** A claim that a write under way would make. */
export interface SentClaim extends ClaimLocation {
    readonly expectedRevision: number;
}

/** An end that is still to be written. */
export interface PendingEnd extends ClaimLocation {
    readonly end: ClaimEnd;
}
