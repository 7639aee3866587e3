/** Routing policies, which choose a backend server for a request, and the load data they use. */
export { createRoutingPolicy, routingPolicyNames } from "./policies.js";
export { createRandomSource, RandomSource } from "./randomSource.js";
export { type Candidate, type LastReport, RoutingPolicy } from "./routingPolicy.js";
export { type InFlightReport, ServerLoadTracker } from "./serverLoadTracker.js";
export { createServerId, type ServerId, type ServerLoad, type ServerSignal } from "./serverSignal.js";
