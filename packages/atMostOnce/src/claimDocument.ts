import { createFailure, type Failure } from "@galenaglade/errors";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";

// Loose, so that during an upgrade older gateways neither reject nor drop fields that newer ones add.
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
/** A caller's idempotency key as claimed by one gateway for one request. */
export type Claim = z.infer<typeof claimSchema>;
/**
 * The claims of one shard and one time bucket, by the digest of their key. A sealed document accepts no new claims,
 * only the ends of existing ones.
 */
export type ClaimDocument = z.infer<typeof claimDocumentSchema>;

/** A document without claims. */
export const emptyClaimDocument: ClaimDocument = Object.freeze({ sealed: false, claims: Object.freeze({}) });

/**
 * @param document - the document
 * @returns the document as stored JSON
 */
export function encodeClaimDocument(document: ClaimDocument): string {
    return JSON.stringify(document);
}

/**
 * @param value - the stored JSON
 * @returns the document, or an `internal` failure if the value is malformed
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
 * @returns the store key of the document
 */
export function createClaimDocumentKey(bucket: number, shard: number): string {
    return `claims/${bucket}/${shard}`;
}

/**
 * @param keyDigest - hexadecimal digest of an idempotency key
 * @param shards - number of shards
 * @returns the shard that every gateway uses for the key
 */
export function resolveClaimShard(keyDigest: string, shards: number): number {
    return Number.parseInt(keyDigest.slice(0, 8), 16) % shards;
}
