import { createFailure, type Failure } from "@galenaglade/errors";
import { defaultFleetTimings, type FleetTimings, storeKeys } from "@galenaglade/membership";
import { type KeyValue, type KeyValueStore } from "@galenaglade/platform";
import { type Either, Left, Right } from "purify-ts";
import { type Clock, createSystemClock, withTimeout } from "./clock.js";
import { type PeerCaller } from "./peerCaller.js";
import { type ServerObservations } from "./serverObservation.js";
import { parseIdentity } from "./storeCodec.js";
import { createPeerCaller } from "./trpcPeerCaller.js";

/** Options of a {@link FleetObserver}. */
export interface FleetObserverOptions {
    readonly store: KeyValueStore;
    readonly fleetKey: string;
    readonly timings?: FleetTimings | undefined;
    /** Replaces the process's clock in tests. */
    readonly clock?: Clock | undefined;
    /** Replaces the calls to gateways in tests. */
    readonly caller?: PeerCaller | undefined;
}

/** The registered gateways' observations of the backend servers. */
export interface FleetObservations {
    readonly answered: readonly ServerObservations[];
    /** Names of the registered gateways that didn't send a valid response in time. */
    readonly unanswered: readonly string[];
}

/**
 * @param options - the store, the fleet's key and overrides for tests
 * @returns an observer of the backend servers through the gateways
 */
export function createFleetObserver(options: FleetObserverOptions): FleetObserver {
    return new FleetObserver(options);
}

/** Collects observations of the backend servers from all registered gateways in parallel. */
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
     * @param service - service whose servers are included; `undefined` for all services
     * @returns the observations of each registered gateway, or its name if it sent no valid response; the store's
     *          failure if the gateways can't be listed
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
        const results = await Promise.all(entries.map(entry => this.#observeGateway(entry, service)));
        return Right({
            answered: results.filter(result => typeof result !== "string"),
            unanswered: results.filter(result => typeof result === "string"),
        });
    }

    /** @returns a gateway's observations, or only its name if it sent no valid response */
    async #observeGateway(entry: KeyValue, service: string | undefined): Promise<ServerObservations | string> {
        const name = entry.key.slice(storeKeys.memberPrefix.length);
        const identity = parseIdentity(entry);
        if (identity.isLeft()) {
            return name;
        }
        const { peerAddress } = identity.unsafeCoerce();
        const observations = (await this.#caller.observe(peerAddress, service)).toMaybe().extract();
        // Addresses are reused: a registration that has outlived its process by some seconds may lead to another
        // gateway, whose requests would be counted twice and under the wrong name.
        return observations?.gateway === name ? observations : name;
    }
}
