/** Where a request goes: whom to ask, whom to send to, when to wait, to repeat and to refuse. */
export { countToAsk } from "./askCount.js";
export { type AskOrderInput, orderToAsk } from "./askOrder.js";
export { choosePlacement, type PlacementDecision, type PlacementInput } from "./choosePlacement.js";
export { ColdAdmission, type ColdInput } from "./coldAdmission.js";
export { type RefusalCause, resolveComeBack } from "./comeBack.js";
export {
    hedgeAfterShare,
    leastTimeShare,
    maximumSends,
    mostAskedAtOnce,
    subsetServers,
    waitShare,
    startTurnsMs,
} from "./constants.js";
export { drawDestination } from "./destination.js";
export { type EarlierLook, GoodChances } from "./goodChances.js";
export { LimitAdmission, type LimitInput } from "./limitAdmission.js";
export { LoadMemory, type RememberedOffer } from "./loadMemory.js";
export { type LoadReport, type ServerOffer } from "./loadReport.js";
export {
    isFailureOfServer,
    isServerFailure,
    isServerLost,
    mayTryAgain,
    type NextTryInput,
    type NotRunReason,
    type SendEnd,
    type UnknownReason,
} from "./nextTry.js";
export { type BoardParts, type FleetSight, PlacementBoard, type RatedServer } from "./placementBoard.js";
export { defaultPlacementPolicy, type PlacementPolicy, resolvePlacementPolicy } from "./policy.js";
export { ProbeBudget, type ProbeInput, type ProbePurpose } from "./probeBudget.js";
export { ProbeGroups, type ProbeShare, type ProbingFleet } from "./probeGroups.js";
export { dealProbingZones, type ProbingZone, type ZonedFleet } from "./probingZones.js";
export { RankMix } from "./rankMix.js";
export { RecentSends } from "./recentSends.js";
export { type RepeatAllowance, RepeatBudget } from "./repeatBudget.js";
export { type LimitChange, type LimitSource, type NamedLimit, type ServerLimit, ServerLimits } from "./serverLimits.js";
export { type AskedRest, type ServerBar, ServerNotices } from "./serverNotices.js";
export { isGood, type ScoreContext, scoreServer, type ServerScore } from "./serverScore.js";
export { type NoServer, type SearchInput, type SearchStep, ServerSearch } from "./serverSearch.js";
export { ServerTrust } from "./serverTrust.js";
export { type ProbeParts, ServiceProbes, type ServiceProbesParts } from "./serviceProbes.js";
export { admitAtStart, type StartAdmission, type StartAdmissionInput } from "./startAdmission.js";
export { type StartRequest, type StartTurn, StartTurns } from "./startTurns.js";
export { TypicalWork } from "./typicalWork.js";
