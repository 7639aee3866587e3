import { createFailure, type Failure } from "@galenaglade/errors";
import { defaultFleetTimings, type FleetTimings, storeKeys } from "@galenaglade/membership";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, createSystemClock, withTimeout } from "./clock.js";
import { type PeerCaller } from "./peerCaller.js";
import { type ServerObservations } from "./serverObservation.js";
import { parseIdentity } from "./storeCodec.js";
import { createPeerCaller } from "./trpcPeerCaller.js";

/** What is needed to ask the gateways. */
export interface FleetObserverOptions {
    readonly store: KeyValueStore;
    readonly fleetKey: string;
    readonly timings?: FleetTimings | undefined;
    /** For tests: in place of the process's clock and the calls to gateways. */
    readonly clock?: Clock | undefined;
    readonly caller?: PeerCaller | undefined;
}

/** What the registered gateways know of the backend servers. */
export interface FleetObservations {
    readonly answered: readonly ServerObservations[];
    /** Names of the registered gateways that gave no usable answer within the time. */
    readonly unanswered: readonly string[];
}

/**
 * @param options - the store and the fleet's key
 * @returns asks the registered gateways what they know of the backend servers
 */
export function createFleetObserver(options: FleetObserverOptions): FleetObserver {
    return new FleetObserver(options);
}

/** Asks all registered gateways at once. */
export class FleetObserver {
    readonly #store: KeyValueStore;
    readonly #timings: FleetTimings;
    readonly #clock: Clock;
    readonly #caller: PeerCaller;

    constructor(options: FleetObserverOptions) {
        this.#store = options.store;
        this.#timings = options.timings ?? defaultFleetTimings;
        this.#clock = options.clock ?? createSystemClock();
        this.#caller = options.caller
            ?? createPeerCaller({ fleetKey: options.fleetKey, callTimeoutMs: this.#timings.callTimeoutMs });
    }

    /**
     * @param service - only this service's servers; all where `undefined`
     * @returns every registered gateway's word, or its name among those that gave none; the store's failure where it
     *          doesn't say which gateways there are
     */
    async observe(service: string | undefined): Promise<Either<Failure, FleetObservations>> {
        const listed = await withTimeout(
            this.#clock,
            this.#timings.freshForMs,
            this.#store.list(storeKeys.memberPrefix),
            () => Left(createFailure("storeUnavailable", "the store took too long")),
        );
        if (listed.isLeft()) {
            return Left(listed.extract());
        }
        const { entries } = listed.unsafeCoerce();
        const answers = await Promise.all(entries.map(entry => this.#ask(entry, service)));
        return Right({
            answered: answers.filter(answer => typeof answer !== "string"),
            unanswered: answers.filter(answer => typeof answer === "string"),
        });
    }

    /** @returns a gateway's word, or only its name */
    async #ask(entry: KeyValue, service: string | undefined): Promise<ServerObservations | string> {
        const name = entry.key.slice(storeKeys.memberPrefix.length);
        const identity = parseIdentity(entry);
        if (identity.isLeft()) {
            return name;
        }
        const { peerAddress } = identity.unsafeCoerce();
        const answer = (await this.#caller.observe(peerAddress, service)).toMaybe().extract();
        // Addresses are used again: a registration that outlives its process for some seconds may lead to another
        // gateway, whose requests would be counted twice and under the wrong name.
        return answer?.gateway === name ? answer : name;
    }
}
