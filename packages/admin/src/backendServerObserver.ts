import { type Failure } from "@galenaglade/errors";
import { type FleetObserver, type ServerObservations } from "@galenaglade/peers";
import { type Either } from "purify-ts";

/** What the gateways know of the backend servers. */
export interface GatewayObservations {
    readonly answered: readonly ServerObservations[];
    /** Names of the registered gateways that gave no usable answer. */
    readonly unanswered: readonly string[];
}

/** Asks the gateways what they know of the backend servers. */
export abstract class BackendServerObserver {
    /**
     * @param service - only this service's servers; all where `undefined`
     * @returns what the gateways that answered know, and which didn't; or why none could be asked
     */
    abstract observe(service: string | undefined): Promise<Either<Failure, GatewayObservations>>;
}

/** Asks all registered gateways by their peer ports. */
export class PeerServerObserver extends BackendServerObserver {
    readonly #fleet: FleetObserver;

    constructor(fleet: FleetObserver) {
        super();
        this.#fleet = fleet;
    }

    override observe(service: string | undefined): Promise<Either<Failure, GatewayObservations>> {
        return this.#fleet.observe(service);
    }
}
