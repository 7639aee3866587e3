/** Fleet membership, and whether a gateway's configuration is recent enough to accept new work. */
export { type AcceptanceTarget, AcceptanceTracker, type VersionReport } from "./acceptanceTracker.js";
export {
    type ChangeStatus,
    ChangeCoordinator,
    type ChangeRequest,
    type GatewayChangeStatus,
} from "./changeCoordinator.js";
export { type ConfigurationHead, createNextHead, findChange, type WrittenChange } from "./configurationHead.js";
export { defaultFleetTimings, resolveFleetTimings, type FleetTimings, storeKeys } from "./constants.js";
export { type FleetCommand, type FleetEvent } from "./fleetEvents.js";
export { FleetMember, type FleetMemberOptions, type FleetStatus } from "./fleetMember.js";
export {
    type ConfigurationOffer,
    type GatewayIdentity,
    type Heartbeat,
    type OfferAnswer,
    type Roster,
} from "./messages.js";
export { hasMajority, isMember, listRosterGateways } from "./roster.js";
export { type FleetSurvey, RosterReconciler, type RosterSwap } from "./rosterReconciler.js";
