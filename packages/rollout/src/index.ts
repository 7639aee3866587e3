/** Rollout of a new version of a service: trial traffic, evidence, coordination and the final decision. */
export { classifyOutcome, type SendOutcome } from "./classifyOutcome.js";
export { CoordinatorSelector } from "./coordinatorSelector.js";
export {
    type AnswerCounts,
    EvidencePool,
    type EvidenceReport,
    EvidenceTally,
    type RouteEvidence,
    type ServerEvidence,
    sumTrialCounts,
} from "./evidence.js";
export { GatewayRollouts, type GatewayRolloutsDeps } from "./gatewayRollouts.js";
export { nextRolloutStep, type RolloutInput, type RolloutWrite } from "./nextRolloutStep.js";
export { type OrderAge, OrderAges, unknownOrderAge } from "./orderAge.js";
export { RolloutCoordination, type CoordinationStep, type CoordinationTime } from "./rolloutCoordination.js";
export {
    type RolloutParticipantDeps,
    type ReportOutcome,
    type RolloutCommand,
    RolloutParticipant,
    type StopCause,
} from "./rolloutParticipant.js";
export { TrialAllowance } from "./trialAllowance.js";
export { SequentialRatioTest, VersionTest, type VersionVerdict } from "./versionTest.js";
