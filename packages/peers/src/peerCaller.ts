import { type Failure } from "@galenaglade/errors";
import { type ConfigurationOffer, type Heartbeat, type OfferAnswer } from "@galenaglade/membership";
import { type Either } from "purify-ts";

/** Calls peers at their addresses. Every failure is `peerUnreachable`. */
export abstract class PeerCaller {
    abstract heartbeat(address: string, heartbeat: Heartbeat): Promise<Either<Failure, Heartbeat>>;
    /** Asks for all that a peer holds. */
    abstract fetch(address: string): Promise<Either<Failure, ConfigurationOffer>>;
    abstract offer(address: string, offer: ConfigurationOffer): Promise<Either<Failure, OfferAnswer>>;
}

/** Answers peers' calls. */
export interface PeerHandler {
    heartbeat(heartbeat: Heartbeat): Heartbeat;
    fetch(): ConfigurationOffer;
    offer(offer: ConfigurationOffer): OfferAnswer;
}

/** Where peers' calls come in. */
export abstract class PeerListener {
    /** @returns the address at which peers reach the handler */
    abstract listen(handler: PeerHandler): Promise<Either<Failure, string>>;
    abstract close(): Promise<void>;
}
