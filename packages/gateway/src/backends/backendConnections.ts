import { createConnector } from "@galenaglade/http-parts";
import { createServerId, type ServerId } from "@galenaglade/routing";
import { Client, type Dispatcher, Pool } from "undici";
import {
    maxConnectionsPerServer,
    connectTimeoutMs,
    idleConnectionTimeoutMs,
    tcpKeepAliveIdleMs,
} from "../constants.js";
import { type ServiceTable, type Target } from "../requests/serviceTable.js";

interface PoolEntry {
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
    readonly #pools = new Map<ServerId, PoolEntry>();
    readonly #dedicatedClients = new Set<Client>();

    /**
     * Provides a connection for one attempt.
     *
     * @param target - the backend server
     * @param dedicated - whether to open a new connection for this attempt alone, rather than use the pool
     */
    open(target: Target, dedicated: boolean): BackendConnection {
        if (!dedicated) {
            return { dispatcher: this.#getPool(target), release: () => undefined };
        }
        const client = new Client(formatOrigin(target), connectionOptions);
        this.#dedicatedClients.add(client);
        const release = (): void => {
            this.#dedicatedClients.delete(client);
            client.close().catch(() => undefined);
        };
        return { dispatcher: client, release };
    }

    /** @returns the pool for a backend server, created on first use */
    #getPool(target: Target): Pool {
        const origin = formatOrigin(target);
        const entry = this.#pools.get(target.serverId);
        if (entry?.origin === origin) {
            return entry.pool;
        }
        if (entry !== undefined) {
            this.#closeWhenIdle(entry.pool);
        }
        const pool = createPool(origin);
        this.#pools.set(target.serverId, { origin, pool });
        return pool;
    }

    /** Closes the pools of backend servers that are no longer configured, after their requests in flight have ended. */
    retain(table: ServiceTable): void {
        const configured = new Set<ServerId>();
        for (const route of table.routes) {
            for (const server of route.service.backendServers) {
                configured.add(createServerId(route.service.name, server.name));
            }
        }
        for (const [serverId, entry] of this.#pools) {
            if (!configured.has(serverId)) {
                this.#pools.delete(serverId);
                this.#closeWhenIdle(entry.pool);
            }
        }
    }

    /** Closes every connection once its requests in flight have finished. */
    async close(): Promise<void> {
        const dispatchers = [...[...this.#pools.values()].map(entry => entry.pool), ...this.#dedicatedClients];
        this.#pools.clear();
        await Promise.all(dispatchers.map(dispatcher => dispatcher.close()));
    }

    #closeWhenIdle(pool: Pool): void {
        pool.close().catch(() => undefined);
    }
}

const connectionOptions = {
    pipelining: 1,
    // A half-open connection, for example after a middlebox dropped its state, reports no error. Without keep-alive
    // probes, a request with a deadline of hours would wait on it until that deadline.
    connect: createConnector({ timeoutMs: connectTimeoutMs, keepAliveIdleMs: tcpKeepAliveIdleMs }),
    keepAliveTimeout: idleConnectionTimeoutMs,
    // Each request has its own deadline; undici's timeouts would abort long downloads.
    headersTimeout: 0,
    bodyTimeout: 0,
};

function createPool(origin: string): Pool {
    return new Pool(origin, { ...connectionOptions, connections: maxConnectionsPerServer });
}

function formatOrigin(target: Target): string {
    const { address, port } = target.server;
    return address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
