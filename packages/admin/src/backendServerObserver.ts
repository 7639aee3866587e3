import { type Failure } from "@galenaglade/errors";
import { type FleetObserver, type ServerObservations } from "@galenaglade/peers";
import { type Either } from "purify-ts";

/** The gateways' observations of the backend servers. */
export interface GatewayObservations {
    readonly answered: readonly ServerObservations[];
    /** Names of the registered gateways that sent no usable response. */
    readonly unanswered: readonly string[];
}

/** Collects the gateways' observations of the backend servers. */
export abstract class BackendServerObserver {
    /**
     * @param service - limits the result to this service's servers; `undefined` for all
     * @returns the observations, with the names of gateways that didn't respond; or why no gateway could be queried
     */
    abstract observe(service: string | undefined): Promise<Either<Failure, GatewayObservations>>;
}

/** Queries all registered gateways on their peer ports. */
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
