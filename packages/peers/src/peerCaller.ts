import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { type Failure } from "@galenaglade/errors";
import { type ConfigurationOffer, type Heartbeat, type OfferAnswer } from "@galenaglade/membership";
import { type Either } from "purify-ts";
import { type ServerObservations } from "./serverObservation.js";

/** Client for the calls between peers. All failures have the kind `peerUnreachable`. */
export abstract class PeerCaller {
    abstract heartbeat(address: string, heartbeat: Heartbeat): Promise<Either<Failure, Heartbeat>>;
    /** Fetches the configuration and roster that a peer holds. */
    abstract fetch(address: string): Promise<Either<Failure, ConfigurationOffer>>;
    abstract offer(address: string, offer: ConfigurationOffer): Promise<Either<Failure, OfferAnswer>>;
    /** Exchanges cold start state with a peer. */
    abstract exchangeColdStart(
        address: string,
        heartbeat: ColdStartHeartbeat,
    ): Promise<Either<Failure, ColdStartHeartbeat>>;
    /** Gets a gateway's observations of one service's backend servers or, without a name, of all. */
    abstract observe(address: string, service: string | undefined): Promise<Either<Failure, ServerObservations>>;
}

/** Handles calls from peers and from the admin process. */
export interface PeerHandler {
    heartbeat(heartbeat: Heartbeat): Heartbeat;
    fetch(): ConfigurationOffer;
    offer(offer: ConfigurationOffer): OfferAnswer;
    exchangeColdStart(heartbeat: ColdStartHeartbeat): ColdStartHeartbeat;
    observe(service: string | undefined): ServerObservations;
}

/** Server for the calls between peers. */
export abstract class PeerListener {
    /** @returns the address at which peers can reach the handler */
    abstract listen(handler: PeerHandler): Promise<Either<Failure, string>>;
    abstract close(): Promise<void>;
}
