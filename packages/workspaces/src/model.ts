/** Rate limit of a workspace over all hosts together. */
export interface RequestLimit {
    readonly perSecond: number;
    /** Number of requests allowed at once after a pause. */
    readonly burst: number;
}

/** A group of callers that share keys, a priority and a limit. */
export interface Workspace {
    /** Unique within a configuration. */
    readonly name: string;
    /** Secrets: never logged, and never forwarded to a backend server. */
    readonly keys: readonly string[];
    /** Overrides the priority of a request's route; 0 is the highest. `undefined` to use the route's. */
    readonly priority?: number | undefined;
    /** `undefined` for no limit. */
    readonly limit?: RequestLimit | undefined;
}

/** The key that a request carries. */
export type CallerKey =
    | { readonly type: "none"; }
    | { readonly type: "given"; readonly key: string; }
    /** Several keys, or a value that contains no key. */
    | { readonly type: "malformed"; };
