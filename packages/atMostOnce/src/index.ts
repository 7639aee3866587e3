/** What may be said of a request having run, and claims of idempotency keys that keep it from running twice. */
export {
    advanceAttempt,
    type AnswerHead,
    type Attempt,
    type AttemptEnd,
    type AttemptEvent,
    type AttemptOutcome,
    combineDidRun,
    createAttempt,
    type Framing,
    resolveAttempt,
} from "./attempt.js";
export { ClaimBatcher, defaultClaimLimits, mayHandOver } from "./claimBatcher.js";
export { type ClaimEnd } from "./claimDocument.js";
export {
    type ClaimCallAnswer,
    type ClaimCommand,
    type ClaimLimits,
    type ClaimRequest,
    type ClaimTime,
    type StoredClaims,
} from "./claimMessages.js";
export * from "./constants.js";
export { type AwaitedHead, StallJudge } from "./stallJudge.js";
