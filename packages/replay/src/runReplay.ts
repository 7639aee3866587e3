import { FleetRecorder, type ReplayReport } from "./report/fleetRecorder.js";
import { FleetReplay } from "./world/fleetReplay.js";
import { type Scenario } from "./world/scenario.js";

/**
 * Plays a scenario to its end.
 *
 * @param scenario - what is played
 * @returns what it showed; the same for the same scenario and seed
 */
export function runReplay(scenario: Scenario): ReplayReport {
    const recorder = new FleetRecorder();
    return recorder.report(new FleetReplay(scenario, { onTick: recorder }).run());
}
