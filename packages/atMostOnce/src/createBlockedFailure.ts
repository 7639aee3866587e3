import { createFailure, type Failure } from "@galenaglade/errors";
import { type Claim } from "./claimDocument.js";
import { type ClaimRequest } from "./claimMessages.js";

/**
 * @param claim - the claim that holds the key
 * @param req - the later request for a claim of the same key
 * @returns the failure for the caller of the later request
 */
export function createBlockedFailure(claim: Claim, req: ClaimRequest): Failure {
    if (claim.fingerprint !== req.fingerprint) {
        return createFailure("idempotencyKeyMismatch", "the idempotency key belongs to another request");
    }
    if (claim.end === undefined) {
        return createFailure("idempotencyKeyInUse", "the request was accepted and its end isn't known");
    }
    const status = claim.end.status === undefined ? "" : ` with status ${claim.end.status}`;
    return createFailure("idempotencyKeyEnded", `the request has ended${status}`, { didRun: claim.end.didRun });
}
