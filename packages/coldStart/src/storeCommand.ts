/** A store call that the gate requests from its gateway; each gets exactly one {@link StoreReply}. */
export type StoreCommand =
    | { readonly type: "grantLease"; readonly ttlMs: number; }
    | { readonly type: "renewLease"; readonly leaseId: string; }
    | { readonly type: "read"; readonly key: string; }
    | {
        readonly type: "swap";
        readonly key: string;
        readonly expectedRevision: number;
        readonly value: string | undefined;
        readonly leaseId: string | undefined;
    };

/** A value as returned by the store. */
export interface StoredValue {
    readonly value: string;
    readonly modifiedRevision: number;
    readonly leaseId?: string | undefined;
}

/** Outcome of a store call. */
export type StoreOutcome =
    | { readonly type: "lease"; readonly leaseId: string; readonly ttlMs: number; }
    | { readonly type: "lapsed"; }
    | { readonly type: "value"; readonly entry: StoredValue | undefined; }
    | { readonly type: "swapped"; readonly revision: number; }
    | { readonly type: "notSwapped"; readonly current: StoredValue | undefined; }
    /** The outcome is unknown, including whether a write took effect. */
    | { readonly type: "failed"; };

/** Reply to one store call. */
export interface StoreReply {
    readonly command: StoreCommand;
    /** Monotonic time before the call was sent, in milliseconds. */
    readonly sentAtMs: number;
    readonly outcome: StoreOutcome;
}
