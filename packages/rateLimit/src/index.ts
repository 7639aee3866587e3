/** Rate limits of workspaces over all hosts together: who may admit a request, decided without a store. */
export { defaultTolerance, type LimitTolerance } from "./admittedRate.js";
export { defaultHoldMs, giveUpMs, groupCount, heartbeatMs, leaseMs, mostDescribedWorkspaces } from "./constants.js";
export { type LimitMessage, protocolVersion, readLimitMessage } from "./messages.js";
export {
    type Command,
    type Decision,
    type GroupDescription,
    type LimitChange,
    type LimiterDescription,
    type LimitRule,
    type Token,
    type TokenRequest,
    type WorkspaceDescription,
} from "./model.js";
export { groupOf, RateLimiter, type RateLimiterOptions } from "./rateLimiter.js";
