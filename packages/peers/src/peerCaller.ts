import { type ColdStartHeartbeat } from "@galenaglade/cold-start";
import { type Failure } from "@galenaglade/errors";
import { type ConfigurationOffer, type Heartbeat, type OfferAnswer } from "@galenaglade/membership";
import { type Either } from "purify-ts";
import { type ServerObservations } from "./serverObservation.js";

/** Calls peers at their addresses. Every failure is `peerUnreachable`. */
export abstract class PeerCaller {
    abstract heartbeat(address: string, heartbeat: Heartbeat): Promise<Either<Failure, Heartbeat>>;
    /** Asks for all that a peer holds. */
    abstract fetch(address: string): Promise<Either<Failure, ConfigurationOffer>>;
    abstract offer(address: string, offer: ConfigurationOffer): Promise<Either<Failure, OfferAnswer>>;
    /** Tells a peer what concerns cold start, and hears the same of it. */
    abstract exchangeColdStart(address: string, word: ColdStartHeartbeat): Promise<Either<Failure, ColdStartHeartbeat>>;
    /** Asks what a gateway knows of one service's backend servers or, without a name, of all. */
    abstract observe(address: string, service: string | undefined): Promise<Either<Failure, ServerObservations>>;
}

/** Answers peers' calls. */
export interface PeerHandler {
    heartbeat(heartbeat: Heartbeat): Heartbeat;
    fetch(): ConfigurationOffer;
    offer(offer: ConfigurationOffer): OfferAnswer;
    exchangeColdStart(word: ColdStartHeartbeat): ColdStartHeartbeat;
    observe(service: string | undefined): ServerObservations;
}

/** Where peers' calls come in. */
export abstract class PeerListener {
    /** @returns the address at which peers reach the handler */
    abstract listen(handler: PeerHandler): Promise<Either<Failure, string>>;
    abstract close(): Promise<void>;
}
