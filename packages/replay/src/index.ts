/** Discrete-event simulation of the placement decisions under load, without sockets, processes or real time. */
export { findMaxWithin, FleetRecorder, type ReplayReport, type ReplayWindow } from "./report/fleetRecorder.js";
export { renderPlot } from "./report/renderPlot.js";
export { renderComparison, renderReport } from "./report/renderReport.js";
export {
    type VersionFault,
    versionFaults,
    type InjectedFault,
    injectedFaults,
    type RolloutSimulationResult,
    type RolloutScenario,
} from "./rollout/rolloutScenario.js";
export { RolloutSimulation } from "./rollout/rolloutSimulation.js";
export { renderRolloutTable, type RolloutTableInput } from "./rollout/rolloutTable.js";
export { runReplay } from "./runReplay.js";
export { resolvePolicyFile, resolveScenario } from "./scenarioFile.js";
export { type CallerBehaviorOverrides } from "./world/callerBehavior.js";
export { EventQueue } from "./world/eventQueue.js";
export { FleetReplay, type ReplayHooks } from "./world/fleetReplay.js";
export {
    type Costs,
    type FleetEvent,
    zeroCosts,
    type RequestKind,
    type Scenario,
    type ServiceGroup,
} from "./world/scenario.js";
export { SimulatedCaller } from "./world/simulatedCaller.js";
export { type ServerShape, SimulatedServer } from "./world/simulatedServer.js";
