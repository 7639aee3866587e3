/** Choosing a backend server. */
export { createRandomSource, RandomSource } from "./randomSource.js";
export { type Candidate, RoutingPolicy } from "./routingPolicy.js";
export { createServerId, type ServerId, type ServerLoad, type ServerSignal } from "./serverSignal.js";
