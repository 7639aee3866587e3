/** Measuring backend servers' load within a budget that all gateways share. */
export { type ProbedService, ProbeScheduler } from "./probeScheduler.js";
