import { type LimitMessage } from "./messages.js";

/** What a workspace may do according to one version of the configuration. */
export interface LimitRule {
    readonly workspace: string;
    /** Requests per second over all hosts together; above 0. */
    readonly perSecond: number;
    /** Requests at once after a pause. */
    readonly burst: number;
    /** Of two rules for a workspace, the one of the higher version is in force. */
    readonly configVersion: number;
}

/** A request that needs a token. */
export interface TokenRequest extends LimitRule {
    /** How long the request can wait for its decision, in milliseconds; by default {@link defaultHoldMs}. */
    readonly decisionTimeoutMs?: number | undefined;
}

/** A token that was granted; to be given back if its request never ran. */
export interface Token {
    readonly rule: LimitRule;
    /** The allocator that granted it; `undefined` for a time slot, which can't be given back. */
    readonly grantedBy: string | undefined;
}

/** What becomes of a request. */
export type Decision =
    | {
        readonly type: "admitted";
        readonly token: Token;
        /** Whether the request may be hedged, and sent again although it may have run. */
        readonly plentiful: boolean;
    }
    /** The workspace is over its limit (429). */
    | { readonly type: "overLimit"; readonly retryAfterMs: number; }
    /** Nobody can tell now whether the workspace is below its limit (503). */
    | { readonly type: "unsure"; readonly retryAfterMs: number; };

/** What the program has to do. */
export type Command =
    | { readonly type: "send"; readonly to: string; readonly message: LimitMessage; }
    /** Comes exactly once for each request that was not cancelled. */
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
    /** Whom this host asks; `undefined` while it asks nobody. */
    readonly allocator: string | undefined;
    readonly state: "delegating" | "waiting" | "isolated";
    /** Sum of the shares that this host holds as the group's allocator. */
    readonly sharesHeld: number;
    /** Hosts that have delegated to this one. */
    readonly delegators: number;
}

/** A workspace whose tokens this host allocates, for metrics. */
export interface WorkspaceSnapshot {
    readonly workspace: string;
    readonly perSecond: number;
    readonly level: number;
    readonly capacity: number;
    /** Since the process started. */
    readonly granted: number;
    readonly refused: number;
}

/** State for metrics; bounded. */
export interface LimiterSnapshot {
    readonly groups: readonly GroupSnapshot[];
    /** The busiest {@link mostDescribedWorkspaces}. */
    readonly workspaces: readonly WorkspaceSnapshot[];
    readonly messagesSent: number;
    /** Messages that could not be read or were out of date. */
    readonly messagesIgnored: number;
}
