import { FleetRecorder, type ReplayReport } from "./report/fleetRecorder.js";
import { FleetReplay } from "./world/fleetReplay.js";
import { type Scenario } from "./world/scenario.js";

/**
 * Runs a scenario to its end.
 *
 * @param scenario - the scenario, with its seed
 * @returns the report; deterministic for a scenario and seed
 */
export function runReplay(scenario: Scenario): ReplayReport {
    const recorder = new FleetRecorder();
    return recorder.report(new FleetReplay(scenario, { onTick: recorder }).run());
}
