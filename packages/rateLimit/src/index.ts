/** Distributed rate limits of workspaces: hosts coordinate with each other to admit requests, without a store. */
export { defaultTolerance, type LimitTolerance } from "./admittedRate.js";
export {
    defaultDecisionTimeoutMs,
    allocatorTimeoutMs,
    groupCount,
    heartbeatPeriodMs,
    leaseMs,
    maxSnapshotWorkspaces,
} from "./constants.js";
export { type LimitMessage, protocolVersion, parseLimitMessage } from "./messages.js";
export {
    type Command,
    type Decision,
    type GroupSnapshot,
    type LimitChange,
    type LimiterSnapshot,
    type LimitRule,
    type Token,
    type TokenRequest,
    type WorkspaceSnapshot,
} from "./model.js";
export { groupOf, RateLimiter, type RateLimiterOptions } from "./rateLimiter.js";
