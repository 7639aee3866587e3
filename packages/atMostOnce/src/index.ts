/** What may be said of a request having run, and claims of idempotency keys that keep it from running twice. */
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
