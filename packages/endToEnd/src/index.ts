/** What the tests of the whole path, on real processes, have in common. */
export { FleetRun, type KeyedResponse } from "./fleetRun.js";
