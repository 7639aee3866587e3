/** Result of one exchange with a backend server, as evidence of whether this host reaches the server. */
export type ServerContactResult =
    /** Any answer was received. */
    | "heard"
    /** Nothing was received before the timeout. */
    | "silent"
    /** The connection was refused. */
    | "refused"
    /** The connection was closed before anything was received. */
    | "lost";

/** One exchange with one backend server: a load query or a request. */
export interface ServerContact {
    readonly service: string;
    readonly serverId: string;
    /** Whether nothing had been received on its connection before. */
    readonly isNewConnection: boolean;
    readonly end: ServerContactResult;
    /** Start time, in milliseconds on the host's monotonic clock. */
    readonly startedAtMs: number;
}

/**
 * Which connections to a service fail: `all` if nothing is received on any connection, `newConnections` if established
 * ones still work but no new one does.
 */
export type LinkFailureKind = "all" | "newConnections";

/** Evidence that the links of a host to a service fail. */
export interface LinkFailure {
    readonly kind: LinkFailureKind;
    /** Number of servers that have failed since the last answer from any server. */
    readonly servers: number;
    /** Number of failed exchanges by result. */
    readonly ends: Readonly<Partial<Record<ServerContactResult, number>>>;
    /** Time since the start of the oldest failed exchange, in milliseconds. */
    readonly forMs: number;
    /** Time since the start of the newest answered exchange, in milliseconds; `undefined` if there was none. */
    readonly heardAgoMs: number | undefined;
}
