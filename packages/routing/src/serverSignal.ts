/** Id of a backend server that is unique in the configuration: `service/server`. */
export type ServerId = `${string}/${string}`;

/**
 * @param service - name of the service
 * @param server - name of the backend server within the service
 * @returns the server id
 */
export function createServerId(service: string, server: string): ServerId {
    return `${service}/${server}`;
}

/** A state change of a backend server that is sent to all gateways immediately. */
export interface ServerSignal {
    readonly serverId: ServerId;
    readonly kind: "turnedCold" | "warm" | "leaving";
    /**
     * Number of times that the server has turned cold, which orders signals that arrive late or out of order; 0 for
     * `leaving`.
     */
    readonly epoch: number;
    /** Id of the server's current process incarnation, if it sends one. */
    readonly incarnation: string | undefined;
    /** Age in milliseconds when sent; the receiver adds the time since it sent its request. */
    readonly ageMs: number;
}

/** Load of a backend server as known to one gateway. */
export interface ServerLoad {
    readonly serverId: ServerId;
    /** Requests in flight from the sending gateway. */
    readonly ownInFlight: number;
    /** Requests in flight from all gateways, from the server's last report; `undefined` if there was none. */
    readonly reportedInFlight: number | undefined;
    /** Age of the server's report in milliseconds when sent. */
    readonly ageMs: number;
}
