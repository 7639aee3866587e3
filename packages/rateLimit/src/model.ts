import { type LimitMessage } from "./messages.js";

/** Rate limit of a workspace in one version of the configuration. */
export interface LimitRule {
    readonly workspace: string;
    /** Requests per second over all hosts together; above 0. */
    readonly perSecond: number;
    /** Number of requests allowed at once after a pause. */
    readonly burst: number;
    /** Of two rules for a workspace, the one with the higher version applies. */
    readonly configVersion: number;
}

/** A request that needs a token. */
export interface TokenRequest extends LimitRule {
    /** How long the request can wait for its decision, in milliseconds; by default {@link defaultDecisionTimeoutMs}. */
    readonly decisionTimeoutMs?: number | undefined;
}

/** A granted token; to be returned if its request was never executed. */
export interface Token {
    readonly rule: LimitRule;
    /** The allocator that granted it; `undefined` for a time slot, which can't be returned. */
    readonly grantedBy: string | undefined;
}

/** The decision on a request. */
export type Decision =
    | {
        readonly type: "admitted";
        readonly token: Token;
        /** Whether the request may be hedged, or retried although it may have been executed. */
        readonly plentiful: boolean;
    }
    /** The workspace is over its limit (429). */
    | { readonly type: "overLimit"; readonly retryAfterMs: number; }
    /** It is currently unknown whether the workspace is below its limit (503). */
    | { readonly type: "unsure"; readonly retryAfterMs: number; };

/** An action to be carried out by the caller of the rate limiter. */
export type Command =
    | { readonly type: "send"; readonly to: string; readonly message: LimitMessage; }
    /** Issued exactly once for each request that was not cancelled. */
    | { readonly type: "decide"; readonly requestId: number; readonly decision: Decision; };

/** A change for the log. */
export type LimitChange =
    | { readonly type: "allocatorChosen"; readonly group: number; readonly allocator: string; readonly rank: number; }
    | { readonly type: "allocatorLost"; readonly group: number; readonly allocator: string; readonly reason: string; }
    | { readonly type: "isolated"; readonly group: number; }
    | { readonly type: "sharesHeld"; readonly group: number; readonly shares: number; readonly hosts: number; };

/** One group of workspaces, for metrics. */
export interface GroupSnapshot {
    readonly group: number;
    /** The allocator that this host requests tokens from; `undefined` while it is isolated. */
    readonly allocator: string | undefined;
    readonly state: "delegating" | "waiting" | "isolated";
    /** Sum of the shares that this host holds as the group's allocator. */
    readonly sharesHeld: number;
    /** Number of hosts that have delegated a share to this one. */
    readonly delegators: number;
}

/** A workspace whose tokens this host allocates, for metrics. */
export interface WorkspaceSnapshot {
    readonly workspace: string;
    readonly perSecond: number;
    readonly level: number;
    readonly capacity: number;
    /** Number of tokens granted since the bucket was created. */
    readonly granted: number;
    readonly refused: number;
}

/** State of the rate limiter for metrics; bounded. */
export interface LimiterSnapshot {
    readonly groups: readonly GroupSnapshot[];
    /** The most recently used workspaces, up to {@link maxSnapshotWorkspaces}. */
    readonly workspaces: readonly WorkspaceSnapshot[];
    readonly messagesSent: number;
    /** Number of messages that were invalid or outdated. */
    readonly messagesIgnored: number;
}
