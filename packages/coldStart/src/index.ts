/** Decides which backend servers a gateway may send to, given cold starts and leaving servers. */
export {
    type ColdStartHeartbeat,
    type DepartureReport,
    type GatewayRoster,
    type HeartbeatRound,
    type LeaseReport,
    type ColdServerReport,
} from "./coldStartHeartbeat.js";
export { authorityChangeDelayMs, clockDriftAllowanceMs, contactTimeoutMs, leaseTtlMs } from "./constants.js";
export { createServerPermitGate } from "./createServerPermitGate.js";
export { LeaseKeeper } from "./leaseKeeper.js";
export { LeavingTracker, type LeavingSource } from "./leavingTracker.js";
export { rankOwners } from "./rankOwners.js";
export {
    type ServerMetadata,
    type AttemptCompletion,
    emptyServerMetadata,
    parseServerMetadata,
    serverMetadataHeaders,
} from "./serverMetadata.js";
export { type GatedServer, ServerPermitGate, type ServerReadiness } from "./serverPermitGate.js";
export { type ServerLimits } from "./serverState.js";
export { type StoreCommand, type StoredValue, type StoreOutcome, type StoreReply } from "./storeCommand.js";
