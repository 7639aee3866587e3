import { type ServerId } from "@galenaglade/routing";
import { maxObservedServers } from "./constants.js";

/** What one gateway knows of one backend server. */
export interface ServerObservation {
    readonly serverId: ServerId;
    /** `undefined` where the gateway doesn't know. */
    readonly state: "cold" | "warm" | "leaving" | undefined;
    /** Requests in flight from this gateway. */
    readonly ownInFlight: number;
    /** Requests in flight from all gateways as the server last said of itself; `undefined` where it said nothing. */
    readonly reportedInFlight: number | undefined;
    /** Age of the server's own word when the gateway answered, in whole milliseconds. */
    readonly reportedAgeMs: number | undefined;
}

/** What one gateway knows of the backend servers. */
export interface ServerObservations {
    /** Name of the gateway. */
    readonly gateway: string;
    readonly servers: readonly ServerObservation[];
    /** Servers that were left out because the answer would have been too large. */
    readonly omitted: number;
}

/** Says what this gateway knows now, of one service's backend servers or, without a name, of all. */
export type ObserveServers = (service: string | undefined) => readonly ServerObservation[];

/**
 * Keeps an answer within the size that is read. Servers with requests in flight from this gateway stay in first: a
 * server that an operator waits for must not be missing because idle ones took the room.
 *
 * @param gateway - name of the gateway
 * @param servers - what it knows
 * @returns the answer, with the number of servers that it leaves out
 */
export function limitObservations(gateway: string, servers: readonly ServerObservation[]): ServerObservations {
    const omitted = Math.max(0, servers.length - maxObservedServers);
    if (omitted === 0) {
        return { gateway, servers, omitted };
    }
    const busiestFirst = servers.toSorted((one, other) => other.ownInFlight - one.ownInFlight);
    return { gateway, servers: busiestFirst.slice(0, maxObservedServers), omitted };
}
