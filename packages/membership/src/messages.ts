import { type RevisedConfiguration } from "@galenaglade/configuration";
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
    /** Time since the sender's configuration was last shown to be current by the store; `undefined` if never. */
    readonly freshnessAgeMs: number | undefined;
    readonly signals: readonly ServerSignal[];
    readonly loads: readonly ServerLoad[];
    /** The sender is in its planned stop and takes no new work. */
    readonly stopping: boolean;
}

/** An offer of a configuration, by a peer or by admin. */
export interface ConfigurationOffer {
    readonly offered: RevisedConfiguration;
    readonly roster: Roster | undefined;
}

/** A gateway's word on an offer. */
export interface OfferAnswer {
    readonly gateway: GatewayIdentity;
    /** Highest revision held after the offer; new work follows it from now on. */
    readonly revision: number;
    readonly rosterVersion: number;
}
