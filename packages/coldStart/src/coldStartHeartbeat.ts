import { type ServerId, type ServerSignal } from "@galenaglade/routing";

/** What a gateway says to a peer, in each heartbeat and each answer to one, about a server it may not send to freely. */
export interface ColdServerReport {
    readonly serverId: ServerId;
    /** How often the server has turned cold, as the speaker knows. */
    readonly epoch: number;
    /** Requests that the speaker has in flight there. */
    readonly inFlight: number;
}

/** A gateway's latest lease, as it is passed on from gateway to gateway. */
export interface LeaseReport {
    /** `name/incarnation` of the gateway whose lease it is. */
    readonly holder: string;
    /** Rises with each renewal. */
    readonly sequence: number;
    /** Time since before the renewal was sent, in milliseconds. */
    readonly ageMs: number;
}

/** A gateway that has left the roster. */
export interface DepartureReport {
    /** `name/incarnation`. */
    readonly gateway: string;
    /** Time since it had certainly stopped sending, in milliseconds; negative while that is still to come. */
    readonly stoppedAgoMs: number;
}

/** The part of a heartbeat, or of the answer to one, that concerns cold start. */
export interface ColdStartHeartbeat {
    /** `name/incarnation` of the speaker. */
    readonly from: string;
    readonly rosterVersion: number;
    /** The latest lease of each gateway, the speaker's own among them. */
    readonly leases: readonly LeaseReport[];
    /** One for each server that the speaker may not send to without a permit. */
    readonly words: readonly ColdServerReport[];
    readonly departures: readonly DepartureReport[];
    /** Members that the speaker has not been asked by for so long that their contact with it no longer counts. */
    readonly absent: readonly string[];
    /** In an answer: whether the speaker has told others so lately that the asker is absent that they may rely on it. */
    readonly isAskerSuspended: boolean;
    /** What the speaker has learnt lately. */
    readonly signals: readonly ServerSignal[];
}

/** One exchange of heartbeats with the peers. */
export interface HeartbeatRound {
    /** Time before the first heartbeat of the round was sent, in milliseconds. */
    readonly startedAtMs: number;
    /** What the peers that answered said. */
    readonly responses: readonly ColdStartHeartbeat[];
}

/** The gateways that count, as `name/incarnation`; changed through the store alone. */
export interface GatewayRoster {
    readonly version: number;
    readonly members: readonly string[];
    /** Present while the roster changes: a majority of both is needed. */
    readonly previous?: readonly string[] | undefined;
}
