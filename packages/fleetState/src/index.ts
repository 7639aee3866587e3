/**
 * State of the fleet as read from the store: configuration, availability zones, backend servers, gateways and
 * rollouts.
 */
export {
    departedGatewayGraceMs,
    directStoreReadMs,
    relayRetryDelayMs,
    followersPerRelay,
    lapsedEntryGraceMs,
    maxReportedContents,
    storeOutageThresholdMs,
    storeReconnectWindowMs,
} from "./constants.js";
export {
    type ClearedStrikes,
    type CrashReport,
    type CrashStrike,
    readCrashReport,
    renderCrashReport,
    type StoredCrashReport,
} from "./crashReport.js";
export { findOwners } from "./findOwners.js";
export { type FleetChange, type ConfigurationInForce, FleetView } from "./fleetView.js";
export { type GatewayRegistration, readGatewayRegistration, renderGatewayRegistration } from "./gatewayRegistration.js";
export { GatewayRoster } from "./gatewayRoster.js";
export { isLaterStatus } from "./isLaterStatus.js";
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
export { RendezvousRanks } from "./rendezvousRanks.js";
export { RolloutRegistry } from "./rolloutRegistry.js";
export { createRouteTable, type RouteTable } from "./routeTable.js";
export { type ServerChange, ServerDirectory } from "./serverDirectory.js";
export { parseSocketAddress } from "./socketAddress.js";
export { type MirroredChanges, type MirroredEntry, StoreMirror } from "./storeMirror.js";
export { revisionOf, StoreTerm, termOf, toPosition } from "./storePosition.js";
export { type ExpiredOverrides, StoreRestoreOverrides } from "./storeRestoreOverrides.js";
export {
    isFinalStage,
    isOpenPlan,
    resolveVersionEligibility,
    type RolloutPlan,
    type VersionEligibility,
} from "./versionEligibility.js";
export { type WatchSource, WatchSourceSelector, type RegisteredGateway } from "./watchSourceSelector.js";
