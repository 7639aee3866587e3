import { directStoreReadMs, relayRetryDelayMs, followersPerRelay, maxRelayAttempts } from "./constants.js";
import { type GatewayRegistration } from "./gatewayRegistration.js";
import { type ServerAddress } from "./model.js";
import { findOwners } from "./findOwners.js";

/** A gateway that is registered and relays changes to others. */
export interface RegisteredGateway extends GatewayRegistration {
    readonly name: string;
}

/** Where a gateway hears of changes in the store. */
export type WatchSource =
    | { readonly type: "store"; }
    /** `known` where the last question to it was answered. */
    | {
        readonly type: "peer";
        readonly name: string;
        readonly address: ServerAddress;
        readonly answeredLast: boolean;
    };

const relaySubject = "relay";
const store: WatchSource = Object.freeze({ type: "store" });

/**
 * Chooses where a gateway hears of changes in the store. Each call of the store is paid for and its rates grow more
 * slowly than the fleet, while every gateway has to hear of each change: with a watch each, a fleet of 114 makes 40 calls
 * a host in 42 calm seconds. So a few gateways of each availability zone watch the store and relay its changes. They are
 * chosen by rendezvous hashing over the registrations, without a message between them, and the others ask these.
 *
 * Bounds hold for each gateway by itself, whoever else is cut off or stands still. So a gateway whose relay doesn't
 * answer asks the relay of another zone, and after two in vain the store itself: a gateway is never worse off than with
 * a watch of its own by more than the time of these two questions.
 */
export class WatchSourceSelector {
    readonly #self: string;
    readonly #availabilityZone: string;
    readonly #failedUntilMs = new Map<string, number>();
    /** Those of the failed ones that answered, without reaching the store. */
    readonly #cutOff = new Set<string>();
    #known: string | undefined;
    #failuresInRow = 0;
    #directUntilMs = -Infinity;
    #askedUntilMs = -Infinity;
    /** Whether the store is asked for the sake of one answer only. */
    #untilKnown = false;

    /**
     * @param self - name of this gateway, as in its registration
     * @param availabilityZone - its own
     */
    constructor(self: string, availabilityZone: string) {
        this.#self = self;
        this.#availabilityZone = availabilityZone;
    }

    /** @returns where to ask next */
    choose(gateways: readonly RegisteredGateway[], nowMs: number): WatchSource {
        if (nowMs < Math.max(this.#directUntilMs, this.#askedUntilMs)) {
            return store;
        }
        const own = gateways.filter(({ availabilityZone }) => availabilityZone === this.#availabilityZone);
        const ownRelays = findRelays(own);
        if (ownRelays.length === 0 || ownRelays.includes(this.#self)) {
            return store;
        }
        const others = gateways.filter(({ availabilityZone }) => availabilityZone !== this.#availabilityZone);
        const ordered = [...this.#order(ownRelays), ...this.#order(findRelaysByZone(others))];
        const name = ordered.find(relay => nowMs >= (this.#failedUntilMs.get(relay) ?? -Infinity));
        const peer = gateways.find(gateway => gateway.name === name);
        return peer === undefined
            ? store
            : { type: "peer", name: peer.name, address: peer.peerAddress, answeredLast: peer.name === this.#known };
    }

    /** A relay answered, with changes or without. */
    onAnswer(name: string): void {
        this.#known = name;
        this.#failuresInRow = 0;
        this.#failedUntilMs.delete(name);
    }

    /**
     * A peer didn't answer, or doesn't reach the store itself.
     *
     * @param name - of the peer
     * @param nowMs - the present time
     * @param answered - whether it said that it doesn't reach the store
     */
    onFailure(name: string, nowMs: number, answered = false): void {
        this.#known = undefined;
        if (answered) {
            this.#cutOff.add(name);
        }
        else {
            this.#cutOff.delete(name);
        }
        this.#failedUntilMs.set(name, nowMs + relayRetryDelayMs);
        this.#failuresInRow++;
        if (this.#failuresInRow >= maxRelayAttempts) {
            this.#untilKnown = false;
            this.#directUntilMs = nowMs + directStoreReadMs;
            this.#failuresInRow = 0;
        }
    }

    /** A peer has changes that it doesn't pass on: the store itself is asked until they are known, for a limited time. */
    onChangeNotRelayed(nowMs: number, forMs: number): void {
        this.#directUntilMs = Math.max(this.#directUntilMs, nowMs + forMs);
        this.#untilKnown = true;
    }

    /** The store itself told what has changed. */
    onCaughtUp(): void {
        if (this.#untilKnown) {
            this.#untilKnown = false;
            this.#directUntilMs = -Infinity;
        }
    }

    /**
     * The store, which had failed this gateway too, answers it again: so it will the relays that answered without reaching it. Those
     * that gave no answer are not waited for a second time.
     */
    onStoreRecovered(): void {
        for (const name of this.#cutOff) {
            this.#failedUntilMs.delete(name);
        }
        this.#cutOff.clear();
        this.#failuresInRow = 0;
        this.#directUntilMs = -Infinity;
    }

    /** A peer asks this gateway: from now on it reads the store itself for a while, or it could pass on nothing sure. */
    onPeerRequest(nowMs: number): void {
        this.#askedUntilMs = nowMs + directStoreReadMs;
    }

    #order(relays: readonly string[]): readonly string[] {
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
