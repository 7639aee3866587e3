import { type ServerId } from "@galenaglade/routing";
import { maxObservedServers } from "./constants.js";

/** One gateway's view of one backend server. */
export interface ServerObservation {
    readonly serverId: ServerId;
    /** `undefined` if unknown to the gateway. */
    readonly state: "cold" | "warm" | "leaving" | undefined;
    /** Requests in flight from this gateway. */
    readonly ownInFlight: number;
    /** Requests in flight from all gateways, as last reported by the server; `undefined` if it reported none. */
    readonly reportedInFlight: number | undefined;
    /** Age of the server's report when the gateway responded, in whole milliseconds. */
    readonly reportedAgeMs: number | undefined;
}

/** One gateway's view of the backend servers. */
export interface ServerObservations {
    /** Name of the gateway. */
    readonly gateway: string;
    readonly servers: readonly ServerObservation[];
    /** Number of servers omitted because of the size limit of the response. */
    readonly omitted: number;
}

/** Returns this gateway's current view of one service's backend servers or, without a name, of all. */
export type ObserveServers = (service: string | undefined) => readonly ServerObservation[];

/**
 * Limits the number of servers in a response to the size that callers accept. Servers with the most requests in flight
 * from this gateway are kept: a server that an operator is waiting for must not be omitted in favor of idle ones.
 *
 * @param gateway - name of the gateway
 * @param servers - its observations
 * @returns the response, with the number of omitted servers
 */
export function limitObservations(gateway: string, servers: readonly ServerObservation[]): ServerObservations {
    const omitted = Math.max(0, servers.length - maxObservedServers);
    if (omitted === 0) {
        return { gateway, servers, omitted };
    }
    const busiestFirst = servers.toSorted((one, other) => other.ownInFlight - one.ownInFlight);
    return { gateway, servers: busiestFirst.slice(0, maxObservedServers), omitted };
}
