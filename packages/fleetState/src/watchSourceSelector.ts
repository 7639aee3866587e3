import { directStoreReadMs, relayRetryDelayMs, followersPerRelay, maxRelayAttempts } from "./constants.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type ServerAddress } from "./model.js";
import { findOwners } from "./findOwners.js";

/** A registered gateway that can relay store changes to others. */
export interface RegisteredGateway extends GatewayRegistration {
    readonly name: string;
}

/** Where a gateway watches for store changes. */
export type WatchSource =
    | { readonly type: "store"; }
    /** `answeredLast` is true if this peer answered the latest request to a relay. */
    | {
        readonly type: "peer";
        readonly name: string;
        readonly address: ServerAddress;
        readonly answeredLast: boolean;
    };

const relaySubject = "relay";
const storeSource: WatchSource = Object.freeze({ type: "store" });

/**
 * Selects where a gateway watches for store changes. Calls to the store cost money, and its rate limits grow more
 * slowly than the fleet, while every gateway needs every change: with a watch each, a fleet of 114 gateways makes 40
 * calls per host in 42 s without any changes. So a few gateways of each availability zone watch the store and relay
 * its changes. They are chosen by rendezvous hashing over the registrations, without coordination, and the other
 * gateways get the changes from them.
 *
 * The delay is bounded for each gateway by itself, whichever others are partitioned or paused: a gateway whose relay
 * does not answer asks a relay of another zone, and after two failures the store itself. Compared with a watch of its
 * own, it never loses more than the time of these two requests.
 */
export class WatchSourceSelector {
    readonly #self: string;
    readonly #availabilityZone: string;
    readonly #failedUntilMs = new Map<string, number>();
    /** Failed relays that answered but did not reach the store. */
    readonly #partitionedRelays = new Set<string>();
    #lastAnsweringRelay: string | undefined;
    #consecutiveFailures = 0;
    #directReadUntilMs = -Infinity;
    #peerRequestUntilMs = -Infinity;
    /** Whether direct reads of the store end with the first one that succeeds. */
    #directUntilCaughtUp = false;

    /**
     * @param self - name of this gateway, as in its registration
     * @param availabilityZone - availability zone of this gateway
     */
    constructor(self: string, availabilityZone: string) {
        this.#self = self;
        this.#availabilityZone = availabilityZone;
    }

    /** @returns the source for the next watch request */
    choose(gateways: readonly RegisteredGateway[], nowMs: number): WatchSource {
        if (nowMs < Math.max(this.#directReadUntilMs, this.#peerRequestUntilMs)) {
            return storeSource;
        }
        const own = gateways.filter(({ availabilityZone }) => availabilityZone === this.#availabilityZone);
        const ownRelays = findRelays(own);
        if (ownRelays.length === 0 || ownRelays.includes(this.#self)) {
            return storeSource;
        }
        const others = gateways.filter(({ availabilityZone }) => availabilityZone !== this.#availabilityZone);
        const ordered = [...this.#rank(ownRelays), ...this.#rank(findRelaysByZone(others))];
        const name = ordered.find(relay => nowMs >= (this.#failedUntilMs.get(relay) ?? -Infinity));
        const peer = gateways.find(gateway => gateway.name === name);
        return peer === undefined
            ? storeSource
            : {
                type: "peer",
                name: peer.name,
                address: peer.peerAddress,
                answeredLast: peer.name === this.#lastAnsweringRelay,
            };
    }

    /** Handles an answer from a relay, with or without changes. */
    onAnswer(name: string): void {
        this.#lastAnsweringRelay = name;
        this.#consecutiveFailures = 0;
        this.#failedUntilMs.delete(name);
    }

    /**
     * Handles a peer that did not answer or does not reach the store itself.
     *
     * @param name - name of the peer
     * @param nowMs - the current time
     * @param answered - whether the peer answered that it does not reach the store
     */
    onFailure(name: string, nowMs: number, answered = false): void {
        this.#lastAnsweringRelay = undefined;
        if (answered) {
            this.#partitionedRelays.add(name);
        }
        else {
            this.#partitionedRelays.delete(name);
        }
        this.#failedUntilMs.set(name, nowMs + relayRetryDelayMs);
        this.#consecutiveFailures++;
        if (this.#consecutiveFailures >= maxRelayAttempts) {
            this.#directUntilCaughtUp = false;
            this.#directReadUntilMs = nowMs + directStoreReadMs;
            this.#consecutiveFailures = 0;
        }
    }

    /** A peer has changes that it cannot relay: reads the store itself until they are known, for a limited time. */
    onChangeNotRelayed(nowMs: number, forMs: number): void {
        this.#directReadUntilMs = Math.max(this.#directReadUntilMs, nowMs + forMs);
        this.#directUntilCaughtUp = true;
    }

    /** Handles a successful direct read of the store. */
    onCaughtUp(): void {
        if (this.#directUntilCaughtUp) {
            this.#directUntilCaughtUp = false;
            this.#directReadUntilMs = -Infinity;
        }
    }

    /**
     * The store is reachable again from this gateway, so it probably is from the relays that answered without reaching
     * it; they may be asked again at once. Relays that gave no answer are not waited for a second time.
     */
    onStoreRecovered(): void {
        for (const name of this.#partitionedRelays) {
            this.#failedUntilMs.delete(name);
        }
        this.#partitionedRelays.clear();
        this.#consecutiveFailures = 0;
        this.#directReadUntilMs = -Infinity;
    }

    /**
     * Handles a request from a peer. This gateway reads the store itself for a while, because it may relay only
     * changes that it got from the store.
     */
    onPeerRequest(nowMs: number): void {
        this.#peerRequestUntilMs = nowMs + directStoreReadMs;
    }

    #rank(relays: readonly string[]): readonly string[] {
        return findOwners(this.#self, relays, relays.length);
    }
}

function findRelays(gateways: readonly RegisteredGateway[]): readonly string[] {
    const count = Math.ceil(gateways.length / followersPerRelay);
    return findOwners(relaySubject, gateways.map(({ name }) => name), count);
}

function findRelaysByZone(gateways: readonly RegisteredGateway[]): readonly string[] {
    const zones = [...new Set(gateways.map(({ availabilityZone }) => availabilityZone))];
    return zones.flatMap(zone => findRelays(gateways.filter(({ availabilityZone }) => availabilityZone === zone)));
}
