/** Test doubles for callers, backend servers and the platform; for tests, benchmarks and the playground only. */
export { type BackendFaults, backendFaultsSchema } from "./backendServer/backendFaults.js";
export {
    type BackendResponse,
    backendResponseSchema,
    backendHeaders,
    computeDigest,
} from "./backendServer/backendResponse.js";
export { type BackendCounters, BackendServer, type BackendServerOptions } from "./backendServer/backendServer.js";
export { type LoadReport } from "./backendServer/loadReportHistory.js";
export {
    defaultServerCapacity,
    type ServerCapacity,
    ServerModel,
    type ServerState,
} from "./backendServer/serverModel.js";
export { Caller } from "./caller/caller.js";
export { type CallerMixEntry, type CallerPlan, type CallerPlanInput, callerPlanSchema } from "./caller/callerPlan.js";
export { type RequestOutcome, type ReceivedResponse, classifyResponse } from "./caller/classifyResponse.js";
export { generateSchedule, type ScheduledRequest } from "./caller/generateSchedule.js";
export {
    type OutcomeCounts,
    type Percentiles,
    OutcomeTally,
    type TallyDocument,
    tallySchema,
} from "./caller/outcomeTally.js";
export { type StoreCallOutcome, FakeStore, type StoreCallOutcomeResolver } from "./fakes/fakeStore.js";
export { VirtualClock } from "./fakes/virtualClock.js";
export {
    Fleet,
    type FleetBackendServer,
    type FleetGateway,
    type FleetOptions,
    type GatewayProgram,
} from "./fleet/fleet.js";
export { limitBackendServers, useLoopbackAddresses } from "./fleet/fleetConfiguration.js";
export { FleetConfigurer } from "./fleet/fleetConfigurer.js";
export { FleetOperator } from "./fleet/fleetOperator.js";
export { findFreePorts } from "./fleet/freePorts.js";
export { type CallCounts, type CallLimits, defaultCallLimits } from "./platform/callRateLimiter.js";
export { KeyValueEngine } from "./platform/keyValueEngine.js";
export { type PlatformFaults, platformFaultsSchema } from "./platform/platformFaults.js";
export { PlatformServer, type PlatformServerOptions } from "./platform/platformServer.js";
export { printReady, type ReadyLine, stopOnSignal } from "./processes/ready.js";
export {
    type ExitStatus,
    parseReadyLine,
    StartedProcess,
    startProcess,
    type StartProcessOptions,
} from "./processes/startProcess.js";
export { ConfirmedSocket, connectConfirmed, ConnectionResetError } from "./raw/confirmedSocket.js";
export { type AfterEarlyResponse, EarlyBackend, type EarlyBackendOptions } from "./raw/earlyBackend.js";
export { KeptCaller, type KeptRequest, type KeptResult } from "./raw/keptCaller.js";
export {
    type RawBackend,
    type RawResponse,
    type RawRequest,
    renderRawResponse,
    sendRawRequest,
    startRawBackend,
} from "./raw/rawBackend.js";
export { type ParsedResponse, type ResponseFraming, ResponseParser } from "./raw/responseParser.js";
export {
    FileHistoryRecorder,
    HistoryRecorder,
    MemoryHistoryRecorder,
    mergeHistories,
    NoopHistoryRecorder,
} from "./recording/historyRecorder.js";
