/** Requests that a workspace may make, over all hosts together. */
export interface RequestLimit {
    readonly perSecond: number;
    /** Requests that it may make at once after a pause. */
    readonly burst: number;
}

/** A group of callers that share keys, a rank and a limit. */
export interface Workspace {
    /** Unique in one configuration. */
    readonly name: string;
    /** Secrets: never logged, and never passed on to a backend server. */
    readonly keys: readonly string[];
    /** Goes before the rank of a request's route; 0 is the most urgent. `undefined` where the route's holds. */
    readonly priority?: number | undefined;
    /** `undefined` for no limit. */
    readonly limit?: RequestLimit | undefined;
}

/** What a request says of its caller's key. */
export type CallerKey =
    | { readonly type: "none"; }
    | { readonly type: "given"; readonly key: string; }
    /** More than one, or something that holds no key. */
    | { readonly type: "malformed"; };
