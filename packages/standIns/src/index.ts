/** Small stand-ins for the systems that galenaglade serves and uses; for tests, benches and the playground only. */
export { type BackendAnswer, backendAnswerSchema, backendHeaders, digest } from "./backendServer/answer.js";
export { type BackendFaults, backendFaultsSchema } from "./backendServer/backendFaults.js";
export { type BackendCounters, BackendServer, type BackendServerOptions } from "./backendServer/backendServer.js";
export { type LoadReport } from "./backendServer/loadReports.js";
export {
    defaultServerCapacity,
    type ServerCapacity,
    ServerModel,
    type ServerState,
} from "./backendServer/serverModel.js";
export { Caller } from "./caller/caller.js";
export { type Outcome, type ReceivedAnswer, resolveOutcome } from "./caller/outcome.js";
export { type CallerMix, type CallerPlan, type CallerPlanInput, callerPlanSchema } from "./caller/plan.js";
export { createSchedule, type ScheduledRequest } from "./caller/schedule.js";
export { type OutcomeCounts, type Percentiles, Tally, type TallyDocument, tallySchema } from "./caller/tally.js";
export { type CallFate, FakeStore, type FateOf } from "./fakes/fakeStore.js";
export { VirtualTime } from "./fakes/virtualTime.js";
export {
    Fleet,
    type FleetBackendServer,
    type FleetGateway,
    type FleetOptions,
    type GatewayProgram,
} from "./fleet/fleet.js";
export { limitBackendServers, placeOnLoopback } from "./fleet/fleetConfiguration.js";
export { FleetConfigurer } from "./fleet/fleetConfigurer.js";
export { findFreePorts } from "./fleet/freePorts.js";
export { Operator } from "./fleet/operator.js";
export { type CallCounts, type CallLimits, defaultCallLimits } from "./platform/callMeter.js";
export { KeyValueEngine } from "./platform/keyValueEngine.js";
export { type PlatformFaults, platformFaultsSchema } from "./platform/platformFaults.js";
export { PlatformServer, type PlatformServerOptions } from "./platform/platformServer.js";
export { printReady, type ReadyLine, stopOnSignal } from "./processes/ready.js";
export {
    type ExitStatus,
    findReadyLine,
    StartedProcess,
    startProcess,
    type StartProcessOptions,
} from "./processes/startProcess.js";
export {
    type RawBackend,
    type RawOutcome,
    type RawRequest,
    renderAnswer,
    sendRaw,
    startRawBackend,
} from "./raw/rawBackend.js";
export { HistoryFile, HistoryRecorder, MemoryHistory, mergeHistories, NoHistory } from "./recording/historyFile.js";
