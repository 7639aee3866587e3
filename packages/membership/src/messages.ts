import { type ConfigurationRevision } from "@galenaglade/configuration";
import { type ServerLoad, type ServerSignal } from "@galenaglade/routing";

/** Identity of a gateway process, as known to its peers and to the admin process. */
export interface GatewayIdentity {
    /** Name of its host, which runs a single gateway. */
    readonly name: string;
    /** Unique for each start of the process. */
    readonly incarnation: string;
    readonly availabilityZone: string;
    /** IP address and port on which it listens for peers. */
    readonly peerAddress: string;
}

/**
 * The gateways whose majority decides whether a change is in force, and whether a gateway may serve without the store.
 * If `previous` is present, the roster is changing from it to `members`, and a majority of both is needed.
 */
export interface Roster {
    /** Increases by one with each change. */
    readonly version: number;
    readonly members: readonly GatewayIdentity[];
    readonly previous?: readonly GatewayIdentity[] | undefined;
}

/** Message that gateways send each other at short intervals; the response has the same shape. */
export interface Heartbeat {
    readonly from: GatewayIdentity;
    /** Highest configuration revision that the sender holds. */
    readonly revision: number;
    readonly rosterVersion: number;
    /**
     * Time in milliseconds since the store last confirmed the sender's configuration and roster as current, counted
     * from the start of that read; `undefined` if unknown.
     */
    readonly freshnessAgeMs: number | undefined;
    /**
     * Whether the sender has started and not yet recovered the state that it may have held before. Until then its
     * response doesn't count as contact.
     */
    readonly recovering: boolean;
    readonly signals: readonly ServerSignal[];
    readonly loads: readonly ServerLoad[];
    /** Whether the sender is in a planned stop and accepts no new work. */
    readonly stopping: boolean;
}

/** Configuration and roster that one process holds and offers to another. */
export interface ConfigurationOffer {
    /** `undefined` if the process holds no configuration. */
    readonly offered: ConfigurationRevision | undefined;
    readonly roster: Roster | undefined;
}

/** A gateway's response to an offer. */
export interface OfferAnswer {
    readonly gateway: GatewayIdentity;
    /** Highest revision held after the offer; new work is sent under it from now on. */
    readonly revision: number;
    readonly rosterVersion: number;
    /** Gateways whose last heartbeat is so recent that they may accept work on the basis of the response. */
    readonly recentCallers: readonly GatewayIdentity[];
}
