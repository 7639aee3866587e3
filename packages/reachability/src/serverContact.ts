/** How one exchange with a backend server ended, as far as it tells whether this host reaches the server. */
export type ServerContactResult =
    /** Any answer came. */
    | "heard"
    /** Nothing came in time. */
    | "silent"
    /** The connection was refused. */
    | "refused"
    /** The connection ended before anything came. */
    | "lost";

/** One exchange with one backend server: a question for its load, or a request. */
export interface ServerContact {
    readonly service: string;
    readonly serverId: string;
    /** Whether nothing had been heard on its connection before. */
    readonly isNewConnection: boolean;
    readonly end: ServerContactResult;
    /** When it began, in milliseconds on the host's monotonic clock. */
    readonly startedAtMs: number;
}

/**
 * What speaks against a host's links to a service: `all` where nothing is heard on any connection, `newConnections` where kept ones
 * still work but no new one does.
 */
export type LinkFailureKind = "all" | "newConnections";

/** Why a host doubts that it reaches a service. */
export interface LinkFailure {
    readonly kind: LinkFailureKind;
    /** Servers that failed since one was last heard. */
    readonly servers: number;
    /** Exchanges that failed, by their ends. */
    readonly ends: Readonly<Partial<Record<ServerContactResult, number>>>;
    /** Since the oldest of them began, in milliseconds. */
    readonly forMs: number;
    /** Since the newest exchange that was answered began, in milliseconds; `undefined` where none was. */
    readonly heardAgoMs: number | undefined;
}
