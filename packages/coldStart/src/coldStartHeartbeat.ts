import { type ServerId, type ServerSignal } from "@galenaglade/routing";

/** A gateway's report on a server that it may not send to without a permit; part of heartbeats and their responses. */
export interface ColdServerReport {
    readonly serverId: ServerId;
    /** Number of times that the server has turned cold, as known to the sender. */
    readonly epoch: number;
    /** Number of requests that the sender has in flight at the server. */
    readonly inFlight: number;
}

/** A gateway's latest lease, as gateways forward it to each other. */
export interface LeaseReport {
    /** `name/incarnation` of the gateway that holds the lease. */
    readonly holder: string;
    /** Increases with each renewal. */
    readonly sequence: number;
    /** Age in milliseconds, measured from before the renewal was sent. */
    readonly ageMs: number;
}

/** A gateway that has left the roster. */
export interface DepartureReport {
    /** `name/incarnation` of the gateway. */
    readonly gateway: string;
    /** Time since the gateway has certainly stopped sending, in milliseconds; negative if that is in the future. */
    readonly stoppedAgoMs: number;
}

/** The cold-start part of a heartbeat or heartbeat response. */
export interface ColdStartHeartbeat {
    /** `name/incarnation` of the sender. */
    readonly from: string;
    readonly rosterVersion: number;
    /** The latest lease of each gateway, including the sender's own. */
    readonly leases: readonly LeaseReport[];
    /** One report for each server that the sender may not send to without a permit. */
    readonly words: readonly ColdServerReport[];
    readonly departures: readonly DepartureReport[];
    /** Members whose last heartbeat to the sender is too old for its response to count as contact. */
    readonly absent: readonly string[];
    /** In a response: whether peers may still rely on the sender's report that the requesting gateway is absent. */
    readonly isAskerSuspended: boolean;
    /** Recent state changes of servers, and repeated `warm` signals. */
    readonly signals: readonly ServerSignal[];
}

/** One exchange of heartbeats with all peers. */
export interface HeartbeatRound {
    /** Monotonic time before the first heartbeat of the round was sent, in milliseconds. */
    readonly startedAtMs: number;
    /** Responses of the peers that responded so far. */
    readonly responses: readonly ColdStartHeartbeat[];
}

/** The member gateways of the fleet, as `name/incarnation`; changed only through the store. */
export interface GatewayRoster {
    readonly version: number;
    readonly members: readonly string[];
    /** Members before the change, while the roster changes: a majority of both lists is then required. */
    readonly previous?: readonly string[] | undefined;
}
