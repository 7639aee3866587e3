import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type ServerConnection } from "../backends/serverConnection.js";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";

/** Chooses the connections for the sends of one request. */
export class SendConnections {
    readonly #pool: ServerConnectionPool;
    readonly #idempotent: boolean;
    /** Ids of the servers to which the request has been sent. */
    readonly #sentTo = new Set<string>();

    /**
     * @param pool - connections of all requests
     * @param idempotent - whether the request may run more than once
     */
    constructor(pool: ServerConnectionPool, idempotent: boolean) {
        this.#pool = pool;
        this.#idempotent = idempotent;
    }

    /**
     * A server may respond to a send twice, the second time late. The next send of the same request has the same id, so that
     * it must not wait on the connection on which that response arrives.
     *
     * @param server - server that the request is sent to
     * @param nowMs - monotonic time, in milliseconds
     * @returns a connection for the next send
     */
    acquire({ id, address }: RegisteredServer, nowMs: number): ServerConnection {
        if (this.#sentTo.has(id)) {
            return this.#pool.open(address);
        }
        this.#sentTo.add(id);
        return this.#idempotent
            ? this.#pool.acquire(id, address)
            : this.#pool.acquireQuiet(id, address, nowMs);
    }
}
