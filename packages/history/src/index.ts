/** Histories recorded from concurrent runs, and pure functions that check them against invariants. */
export { checkAtMostOnce } from "./atMostOnceChecker.js";
export { checkCallersLeft, type CallersLeftBounds } from "./callersLeftChecker.js";
export { checkColdRate } from "./coldRateChecker.js";
export { checkColdStart, type ColdStartBounds } from "./coldStartChecker.js";
export {
    checkConfigurationInForce,
    checkConfigurationNeverReverts,
    checkConfigurationOrder,
} from "./configurationChecker.js";
export { type VersionBounds } from "./configurationVersions.js";
export { checkDidRunAccuracy } from "./didRunAccuracyChecker.js";
export { checkDrained } from "./drainChecker.js";
export {
    type HistoryEvent,
    type HistoryLine,
    type RecordMetadata,
    type Violation,
    type WrittenWorkspace,
} from "./events.js";
export { checkOperatorChanges, type OperatorChangeLine, type ZoneStates } from "./operatorChangeChecker.js";
export { checkPartitionedGateways, type PartitionedGatewayBounds } from "./partitionedGatewayChecker.js";
export { checkPlannedStops, type PlannedStopBounds } from "./plannedStopChecker.js";
export { checkProbeBudget, type ProbeBudgetBounds } from "./probeBudgetChecker.js";
export { checkQueryOfDeath, type QueryOfDeathBounds } from "./queryOfDeathChecker.js";
export { checkRepeatBudget, type RepeatBudgetBounds } from "./repeatBudgetChecker.js";
export { checkResponseIntegrity } from "./responseIntegrityChecker.js";
export { checkRollouts, type RolloutBounds } from "./rolloutChecker.js";
export { checkServerLeaving } from "./serverLeavingChecker.js";
export { checkServerLimit, type ServerLimitBounds } from "./serverLimitChecker.js";
export {
    checkLeavingRespected,
    checkServerBackoff,
    type ServerBackoffBounds,
} from "./serverResponseMetadataCheckers.js";
export { checkWorkspaceKeys } from "./workspaceKeyChecker.js";
export { checkWorkspaceLimits, type WorkspaceLimitBounds } from "./workspaceLimitChecker.js";
export { checkZoneOut } from "./zoneOutChecker.js";
