import { createServerId, type ServerId } from "@galenaglade/routing";
import { Client, type Dispatcher, Pool } from "undici";
import {
    maxConnectionsPerServer,
    connectTimeoutMs,
    idleConnectionTimeoutMs,
    tcpKeepAliveIdleMs,
} from "../constants.js";
import { type ServiceTable, type Target } from "../requests/serviceTable.js";

interface Held {
    readonly origin: string;
    readonly pool: Pool;
}

/** A connection or connection pool that one attempt is sent on. */
export interface BackendConnection {
    readonly dispatcher: Dispatcher;
    /** Must be called once the attempt has ended. */
    release(): void;
}

/** Connections to backend servers, one pool per server. A connection carries one request at a time (no pipelining). */
export class BackendConnections {
    readonly #held = new Map<ServerId, Held>();
    readonly #fresh = new Set<Client>();

    /**
     * Provides a connection for one attempt.
     *
     * @param target - the backend server
     * @param own - whether to open a new connection for this attempt alone, rather than use the pool
     */
    open(target: Target, own: boolean): BackendConnection {
        if (!own) {
            return { dispatcher: this.#poolOf(target), release: () => undefined };
        }
        const client = new Client(originOf(target), connectionOptions);
        this.#fresh.add(client);
        const release = (): void => {
            this.#fresh.delete(client);
            client.close().catch(() => undefined);
        };
        return { dispatcher: client, release };
    }

    /** @returns the pool for a backend server, created on first use */
    #poolOf(target: Target): Pool {
        const origin = originOf(target);
        const held = this.#held.get(target.serverId);
        if (held?.origin === origin) {
            return held.pool;
        }
        if (held !== undefined) {
            this.#closeGently(held.pool);
        }
        const pool = createPool(origin);
        this.#held.set(target.serverId, { origin, pool });
        return pool;
    }

    /** Closes the pools of backend servers that are no longer configured, after their requests in flight have ended. */
    retain(table: ServiceTable): void {
        const named = new Set<ServerId>();
        for (const route of table.routes) {
            for (const server of route.service.backendServers) {
                named.add(createServerId(route.service.name, server.name));
            }
        }
        for (const [serverId, held] of this.#held) {
            if (!named.has(serverId)) {
                this.#held.delete(serverId);
                this.#closeGently(held.pool);
            }
        }
    }

    /** Closes every connection once its requests in flight have finished. */
    async close(): Promise<void> {
        const open = [...[...this.#held.values()].map(held => held.pool), ...this.#fresh];
        this.#held.clear();
        await Promise.all(open.map(dispatcher => dispatcher.close()));
    }

    #closeGently(pool: Pool): void {
        pool.close().catch(() => undefined);
    }
}

const connectionOptions = {
    pipelining: 1,
    // A half-open connection, for example after a middlebox dropped its state, reports no error. Without keep-alive
    // probes, a request with a deadline of hours would wait on it until that deadline.
    connect: { timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveIdleMs },
    keepAliveTimeout: idleConnectionTimeoutMs,
    // Each request has its own deadline; undici's timeouts would abort long downloads.
    headersTimeout: 0,
    bodyTimeout: 0,
};

function createPool(origin: string): Pool {
    return new Pool(origin, { ...connectionOptions, connections: maxConnectionsPerServer });
}

function originOf(target: Target): string {
    const { address, port } = target.server;
    return address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
