/** Names a backend server over the whole configuration: `service/server`. */
export type ServerId = `${string}/${string}`;

/**
 * @param service - name of the service
 * @param server - name of the backend server within it
 * @returns the name over the whole configuration
 */
export function createServerId(service: string, server: string): ServerId {
    return `${service}/${server}`;
}

/** Something learnt about a backend server that every gateway has to know at once. */
export interface ServerSignal {
    readonly serverId: ServerId;
    readonly kind: "turnedCold" | "warm" | "leaving";
    /** Counts the times that the server turned cold, so that signals may arrive late or out of order; 0 for `leaving`. */
    readonly epoch: number;
    /** The server's own word for its present life, where it gives one. */
    readonly incarnation: string | undefined;
    /** Age when sent, in milliseconds; the receiver adds the time since it asked. */
    readonly ageMs: number;
}

/** What one gateway knows of a backend server's load. */
export interface ServerLoad {
    readonly serverId: ServerId;
    /** Requests in flight from the sending gateway, counted by itself. */
    readonly ownInFlight: number;
    /** Requests in flight as the server last said of itself; `undefined` where it said nothing. */
    readonly reportedInFlight: number | undefined;
    /** Age of the server's own word when sent, in milliseconds. */
    readonly ageMs: number;
}
