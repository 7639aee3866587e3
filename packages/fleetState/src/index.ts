/** What a process believes of the fleet, from the store: configuration, zones, backend servers and gateways. */
export {
    departedGatewayMs,
    directMs,
    failedPeerMs,
    followersPerRelay,
    lapsedEntryGraceMs,
    mostReportedContents,
    storeAwayMs,
    storeFoundWithinMs,
} from "./constants.js";
export {
    type ClearedStrikes,
    type CrashReport,
    type CrashStrike,
    readCrashReport,
    renderCrashReport,
    type StoredCrashReport,
} from "./crashReport.js";
export { type BeliefChange, type ConfigurationInForce, FleetView } from "./fleetView.js";
export { type GatewayRegistration, readGatewayRegistration, renderGatewayRegistration } from "./gatewayRegistration.js";
export { GatewayRoster } from "./gatewayRoster.js";
export {
    type CallerLimits,
    type Destination,
    type FleetConfiguration,
    type RegisteredServer,
    type RolloutOrder,
    type RolloutStage,
    type RolloutStatus,
    type Route,
    type ServerAddress,
    type ServiceRules,
    type StateChanges,
    type StateItem,
} from "./model.js";
export { type WatchSource, RelaySources, type RegisteredGateway } from "./relaySources.js";
export { findOwners } from "./rendezvous.js";
export { RendezvousRanks } from "./rendezvousRanks.js";
export { type DueBeliefs, RestoredBeliefs } from "./restoredBeliefs.js";
export { isLaterStatus } from "./rolloutOrder.js";
export { RolloutRegistry } from "./rolloutRegistry.js";
export { createRouteTable, type RouteTable } from "./routeTable.js";
export { type ServerChange, ServerDirectory } from "./serverDirectory.js";
export { type MirroredChanges, type MirroredEntry, StoreMirror } from "./storeMirror.js";
export { revisionOf, StoreTerm, termOf, toPosition } from "./storePosition.js";
export { isFinalStage, isOpenPlan, resolveVersionUse, type RolloutPlan, type VersionUse } from "./versionUse.js";
