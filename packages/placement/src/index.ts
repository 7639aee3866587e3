/** Placement of requests: which backend servers to probe, where to send, and when to wait, retry, hedge or reject. */
export {
    type AdvertisedLimitChange,
    type LimitSource,
    type ParsedLimit,
    type AdvertisedLimit,
    AdvertisedLimits,
} from "./advertisedLimits.js";
export { choosePlacement, type PlacementDecision, type PlacementInput } from "./choosePlacement.js";
export { ColdServerAdmission, type ColdAdmissionInput } from "./coldServerAdmission.js";
export {
    hedgeAfterShare,
    minRemainingTimeShare,
    maxSends,
    mostAskedAtOnce,
    subsetServers,
    waitShare,
    startupQueueMs,
} from "./constants.js";
export { pickDestination } from "./destination.js";
export { type PreviousObservation, GoodChanceEstimator } from "./goodChanceEstimator.js";
export { LimitAdmission, type LimitAdmissionInput } from "./limitAdmission.js";
export { type PlacementStateDeps, type FleetSnapshot, PlacementState, type ServerCandidate } from "./placementState.js";
export { defaultPlacementPolicy, type PlacementPolicy, resolvePlacementPolicy } from "./policy.js";
export { PriorityMix } from "./priorityMix.js";
export { type ProbeAssignment, ProbeAssignments, type ProbeAssignmentsDeps } from "./probeAssignments.js";
export { ProbeBudget, type ProbeBudgetInput, type ProbePurpose } from "./probeBudget.js";
export { chooseProbeCount } from "./probeCount.js";
export { ProbeGroups, type ProbeShare, type ProbingFleet } from "./probeGroups.js";
export { type ProbeOrderInput, orderForProbing } from "./probeOrder.js";
export { assignProbingZones, type ProbingZone, type FleetByZone } from "./probingZones.js";
export { RecentSends } from "./recentSends.js";
export { type RepeatAllowance, RepeatBudget, type RepeatBudgetState, type RepeatPurpose } from "./repeatBudget.js";
export { type RefusalCause, drawRetryAfterSeconds } from "./retryAfter.js";
export {
    countsAsServerFailure,
    isServerError,
    isPossibleServerCrash,
    isRetryAllowed,
    type RetryInput,
    type NotRunReason,
    type SendEnd,
    type UnknownRunReason,
} from "./retryDecision.js";
export { type ParsedBackoff, type ServerExclusion, ServerExclusions } from "./serverExclusions.js";
export { isGood, type ScoreContext, scoreServer, type ServerScore } from "./serverScore.js";
export { type NoServerReason, type SearchInput, type SearchStep, ServerSearch } from "./serverSearch.js";
export { type LoadReport, type ServerStatus } from "./serverStatus.js";
export { admitDuringStartup, type StartupAdmission, type StartupAdmissionInput } from "./startupAdmission.js";
export { type StartupRequest, type StartupSlot, StartupQueue } from "./startupQueue.js";
export { StatusCache, type CachedStatus } from "./statusCache.js";
export { SuspectServers } from "./suspectServers.js";
export { TypicalLatency } from "./typicalLatency.js";
