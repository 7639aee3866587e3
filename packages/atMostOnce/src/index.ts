/** Tracks whether a request may have run, and claims idempotency keys so that it does not run twice. */
export {
    advanceAttempt,
    type ResponseHead,
    type Attempt,
    type AttemptEnd,
    type AttemptEvent,
    type AttemptOutcome,
    combineDidRun,
    createAttempt,
    type ResponseFraming,
    resolveAttempt,
} from "./attempt.js";
export { ClaimBatcher, defaultClaimLimits, isClaimValid } from "./claimBatcher.js";
export { type ClaimEnd } from "./claimDocument.js";
export {
    type ClaimStoreReply,
    type ClaimCommand,
    type ClaimLimits,
    type ClaimRequest,
    type ClaimTime,
    type StoredClaims,
} from "./claimMessages.js";
export * from "./constants.js";
export { type PendingAttempt, StallDetector } from "./stallDetector.js";
