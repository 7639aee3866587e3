import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";

// Loose, so that what a newer gateway adds is neither refused nor dropped by an older one during an upgrade.
const claimEndSchema = z.looseObject({
    didRun: z.enum(["no", "yes", "unknown"]),
    status: z.number().int().optional(),
}).readonly();

const claimSchema = z.looseObject({
    fingerprint: z.string(),
    nonce: z.string(),
    holder: z.string(),
    end: claimEndSchema.optional(),
}).readonly();

const claimDocumentSchema = z.looseObject({
    sealed: z.boolean(),
    claims: z.record(z.string(), claimSchema).readonly(),
}).readonly();

/** How the request of a claim ended. */
export type ClaimEnd = z.infer<typeof claimEndSchema>;
/** One caller's idempotency key as claimed by one gateway for one request. */
export type Claim = z.infer<typeof claimSchema>;
/**
 * The claims of one shard and one time bucket, by digest of their key. A sealed document takes no new claim, and
 * only ends are added to it.
 */
export type ClaimDocument = z.infer<typeof claimDocumentSchema>;

/** A document that holds nothing yet. */
export const emptyClaimDocument: ClaimDocument = Object.freeze({ sealed: false, claims: Object.freeze({}) });

/**
 * @param document - the document
 * @returns its form in the store
 */
export function encodeClaimDocument(document: ClaimDocument): string {
    return JSON.stringify(document);
}

/**
 * @param value - what the store returned
 * @returns the document, or `internal` where it isn't one
 */
export function decodeClaimDocument(value: string): Either<Failure, ClaimDocument> {
    try {
        return Right(claimDocumentSchema.parse(JSON.parse(value)));
    }
    catch {
        return Left(createFailure("internal", "claim document is malformed", { didRun: "no" }));
    }
}

/**
 * @param bucket - number of the time bucket
 * @param shard - number of the shard
 * @returns the document's key in the store
 */
export function createClaimDocumentKey(bucket: number, shard: number): string {
    return `claims/${bucket}/${shard}`;
}

/**
 * @param keyDigest - digest of an idempotency key, in hexadecimal digits
 * @param shards - number of shards
 * @returns the shard that every gateway uses for the key
 */
export function resolveClaimShard(keyDigest: string, shards: number): number {
    return Number.parseInt(keyDigest.slice(0, 8), 16) % shards;
}
