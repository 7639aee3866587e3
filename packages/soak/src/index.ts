/**
 * A randomized soak test: runs real processes on one machine, injects faults from outside, and checks the documented
 * guarantees.
 */
export { runSoakCommand } from "./command.js";
export { planFailureBursts } from "./failureBurstPlan.js";
export { planFaults } from "./faultPlan.js";
export { type Fault, type FaultKind, type LinkFault } from "./faults.js";
export { type PipeliningBehavior } from "./pipeliningCaller.js";
export { type CallerCredentials } from "./requestGenerator.js";
export { runSoak, type SoakOptions, type SoakResult } from "./runSoak.js";
export { type ReceivedRequest, ServerCodec, type ServerState } from "./serverCodec.js";
export { SoakServer } from "./soakServer.js";
export {
    type SoakResponseMetadata,
    type SoakServerOptions,
    type ServerFaults,
    type SoakProgram,
    SoakSystem,
    noServerFaults,
    noStoreFaults,
    type StoreCommand,
    type StoreFaults,
    type StoreWrite,
    maxRewriteDelayMs,
} from "./soakSystem.js";
export { runStopDrill, type StopDrillOptions } from "./stopDrill.js";
export { planStopDrill, type PlannedStop, type StopDrillPlan } from "./stopDrillPlan.js";
