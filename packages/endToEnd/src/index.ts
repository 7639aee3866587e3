/** Shared test fixture of the end-to-end tests, which run on real processes. */
export { FleetRun, type KeyedResponse } from "./fleetRun.js";
