import { findOwners, type RegisteredServer } from "@galenaglade/fleet-state";
import { defaultPlacementPolicy } from "./policy.js";

/**
 * The backend servers that this gateway asks first. In a fleet of a hundred gateways and as many servers of a service,
 * each gateway asks each server so rarely that nearly every question would open a connection. Asked from a fixed few of them, most questions find one open. Rendezvous hashing by the
 * gateway's name gives every server about as many gateways, and moves few when servers come and go; the rest is still
 * asked where these are slow or full.
 */
export class ServerSubset {
    readonly #gateway: string;
    readonly #size: number;
    #members: ReadonlySet<string> = new Set();
    #chosenFrom = "";

    /**
     * @param gateway - name of this gateway
     * @param size - servers in the subset, at most
     */
    constructor(gateway: string, size = defaultPlacementPolicy.subsetServers) {
        this.#gateway = gateway;
        this.#size = size;
    }

    /**
     * @param servers - those of one service that may be given work, in the gateway's own availability zone
     * @returns ids of those to ask first; all of them where they are few
     */
    of(servers: readonly RegisteredServer[]): ReadonlySet<string> {
        const ids = servers.map(({ id }) => id);
        const chosenFrom = ids.join(" ");
        if (chosenFrom !== this.#chosenFrom) {
            this.#chosenFrom = chosenFrom;
            this.#members = new Set(findOwners(this.#gateway, ids, this.#size));
        }
        return this.#members;
    }
}
