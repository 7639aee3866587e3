import { type BackendServerState } from "@galenaglade/schema";

/** What one gateway knows of one backend server. */
export interface ServerObservation {
    /** Name of the gateway's host. */
    readonly gateway: string;
    readonly service: string;
    readonly backendServer: string;
    readonly state: BackendServerState;
    /** Requests in flight from this gateway. */
    readonly inFlight: number;
}

/** Asks the gateways what they know of the backend servers. */
export abstract class BackendServerObserver {
    /** @returns what the gateways that answered know; a gateway that can't be asked is left out */
    abstract observe(): Promise<readonly ServerObservation[]>;
}
