/** Recorded histories of concurrent runs, and the pure checkers that read them. */
export { checkAtMostOnce } from "./atMostOnceChecker.js";
export { checkColdRate } from "./coldRateChecker.js";
export { checkColdStart, type ColdStartBounds } from "./coldStartChecker.js";
export {
    checkConfigurationInForce,
    checkConfigurationNeverReverts,
    checkConfigurationOrder,
} from "./configurationChecker.js";
export { checkCutGateways, type CutGatewayBounds } from "./cutGatewayChecker.js";
export { checkDrained } from "./drainChecker.js";
export { type HistoryEvent, type HistoryLine, type Recorded, type Violation, type WrittenWorkspace } from "./events.js";
export { checkOperatorChanges, type OperatorChangeLine, type ZoneStates } from "./operatorChangeChecker.js";
export { checkProbeBudget, type ProbeBudget } from "./probeBudgetChecker.js";
export { checkQueryOfDeath, type QueryOfDeathBounds } from "./queryOfDeathChecker.js";
export { checkRepeatBudget, type RepeatBounds } from "./repeatBudgetChecker.js";
export { checkRollouts, type RolloutBounds } from "./rolloutChecker.js";
export { checkServerLeaving } from "./serverLeavingChecker.js";
export { checkServerLimit, type ServerLimitBounds } from "./serverLimitChecker.js";
export { checkLeavingHeeded, checkServerRest, type ServerRestBounds } from "./serverNoticeCheckers.js";
export { checkTruthfulDidRun } from "./truthfulDidRunChecker.js";
export { checkWholeAnswer } from "./wholeAnswerChecker.js";
export { checkWorkspaceKeys } from "./workspaceKeyChecker.js";
export { checkWorkspaceLimits, type WorkspaceLimitBounds } from "./workspaceLimitChecker.js";
export { type VersionBounds } from "./writtenVersions.js";
export { checkZoneOut } from "./zoneOutChecker.js";
