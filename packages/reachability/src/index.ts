/** Tracks whether this host reaches the backend servers of each service, and which other gateways do if it does not. */
export { HandoverTargetSelector, type HandoverTargetSelectorDeps } from "./handoverTargetSelector.js";
export { LinkFailureDetector } from "./linkFailureDetector.js";
export {
    type ServerContact,
    type ServerContactResult,
    type LinkFailure,
    type LinkFailureKind,
} from "./serverContact.js";
export { type ReachabilityChange, ServiceReachability, type ReachabilityState } from "./serviceReachability.js";
