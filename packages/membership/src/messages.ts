import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";

/** A gateway as its peers and the admin process know it. */
export interface GatewayIdentity {
    /** Name of its host; one gateway runs on a host. */
    readonly name: string;
    /** New with every start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** Where its peer port listens: IP number and port. */
    readonly peerAddress: string;
}

/**
 * Which gateways are counted when a change is accepted, and when a gateway decides whether it may serve without the
 * store. While `previous` is present the roster is changing from it to `members`, and a majority of both is needed.
 */
export interface Roster {
    /** Rises by one with each change. */
    readonly version: number;
    readonly members: readonly GatewayIdentity[];
    readonly previous?: readonly GatewayIdentity[] | undefined;
}

/** What gateways tell each other at short, regular intervals; the answer has the same shape. */
export interface Heartbeat {
    readonly from: GatewayIdentity;
    /** Highest configuration revision that the sender holds. */
    readonly revision: number;
    readonly rosterVersion: number;
    /**
     * Time since the sender's configuration and roster were last shown to be current by the store, counted from before
     * the store was asked; `undefined` where that isn't known.
     */
    readonly freshnessAgeMs: number | undefined;
    /** The sender started lately and hasn't yet learnt what it may have held before: its word counts for nothing. */
    readonly recovering: boolean;
    readonly signals: readonly ServerSignal[];
    readonly loads: readonly ServerLoad[];
    /** The sender is in its planned stop and takes no new work. */
    readonly stopping: boolean;
}

/** What a process holds, offered to another. */
export interface ConfigurationOffer {
    /** `undefined` where no configuration was ever written. */
    readonly offered: ConfigurationRevision | undefined;
    readonly roster: Roster | undefined;
}

/** A gateway's word on an offer. */
export interface OfferAnswer {
    readonly gateway: GatewayIdentity;
    /** Highest revision held after the offer; new work follows it from now on. */
    readonly revision: number;
    readonly rosterVersion: number;
    /** Who asked it for a heartbeat so lately that it may serve on the strength of the answer. */
    readonly recentCallers: readonly GatewayIdentity[];
}
