/** Replays loads on the placement's decisions: no sockets, no processes, a clock of its own. */
export { findMostWithin, FleetRecorder, type ReplayReport, type ReplayWindow } from "./report/fleetRecorder.js";
export { renderPlot } from "./report/renderPlot.js";
export { renderComparison, renderReport } from "./report/renderReport.js";
export {
    type Badness,
    badnesses,
    type RolloutTrouble,
    rolloutTroubles,
    type WorldResult,
    type WorldScenario,
} from "./rollout/rolloutScenario.js";
export { renderRolloutTable, type RolloutTableInput } from "./rollout/rolloutTable.js";
export { RolloutWorld } from "./rollout/rolloutWorld.js";
export { runReplay } from "./runReplay.js";
export { resolvePolicyFile, resolveScenario } from "./scenarioFile.js";
export { type CrowdOverrides } from "./world/crowdMood.js";
export { EventQueue } from "./world/eventQueue.js";
export { FleetReplay, type ReplayHooks } from "./world/fleetReplay.js";
export {
    type Costs,
    type FleetEvent,
    noCosts,
    type RequestKind,
    type Scenario,
    type ServiceGroup,
} from "./world/scenario.js";
export { SimulatedCaller } from "./world/simulatedCaller.js";
export { type ServerShape, SimulatedServer } from "./world/simulatedServer.js";
