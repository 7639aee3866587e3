/** Moving a service to a new version: how much of it is tried, what counts as evidence, who decides, and when it ends. */
export { Coordination, type CoordinationStep, type CoordinationTime } from "./coordination.js";
export { Coordinators } from "./coordinators.js";
export {
    type AnswerCounts,
    EvidencePool,
    type EvidenceReport,
    EvidenceTally,
    type RouteEvidence,
    type ServerEvidence,
    sumTrial,
} from "./evidence.js";
export { GatewayRollouts, type GatewayRolloutsParts } from "./gatewayRollouts.js";
export { type OrderAge, OrderAges, unknownOrderAge } from "./orderAge.js";
export { judgeOutcome, type SendOutcome } from "./outcome.js";
export { nextRolloutStep, type RolloutInput, type RolloutWrite } from "./rolloutMachine.js";
export {
    type ParticipantParts,
    type ReportOutcome,
    type RolloutCommand,
    RolloutParticipant,
    type StopCause,
} from "./rolloutParticipant.js";
export { TrialAllowance } from "./trialAllowance.js";
export { SequentialRatioTest, VersionTest, type VersionVerdict } from "./versionTest.js";
