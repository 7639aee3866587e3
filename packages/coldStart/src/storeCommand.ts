/** A call that the shell is to make to the platform's store; each gets exactly one {@link StoreReply}. */
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

/** A key as the store returned it. */
export interface StoredValue {
    readonly value: string;
    readonly modifiedRevision: number;
    readonly leaseId?: string | undefined;
}

/** How a call ended. */
export type StoreOutcome =
    | { readonly type: "lease"; readonly leaseId: string; readonly ttlMs: number; }
    | { readonly type: "lapsed"; }
    | { readonly type: "value"; readonly entry: StoredValue | undefined; }
    | { readonly type: "swapped"; readonly revision: number; }
    | { readonly type: "notSwapped"; readonly current: StoredValue | undefined; }
    /** Nothing is known of the call, not even whether a write took effect. */
    | { readonly type: "failed"; };

/** The end of one call. */
export interface StoreReply {
    readonly command: StoreCommand;
    /** Monotonic time before the call was sent, in milliseconds. */
    readonly sentAtMs: number;
    readonly outcome: StoreOutcome;
}
