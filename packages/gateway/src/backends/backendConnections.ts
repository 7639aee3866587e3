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

/** What one attempt is sent over. */
export interface BackendConnection {
    readonly dispatcher: Dispatcher;
    /** Call once the attempt has ended. */
    release(): void;
}

/** Connections to backend servers, a pool each. One request at a time goes over a connection. */
export class BackendConnections {
    readonly #held = new Map<ServerId, Held>();
    readonly #fresh = new Set<Client>();

    /**
     * Finds a connection for one attempt.
     *
     * @param target - the backend server
     * @param own - whether to open one for this attempt alone, or to take one that others used before
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

    /** @returns the pool for a backend server, opened when first asked for */
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

    /** Lets go of backend servers that the configuration no longer names; what is in flight there finishes. */
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

    /** Closes every connection once nothing is in flight on it. */
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
    // A connection that was lost track of gives no error; unasked, a night's extract would wait on it until morning.
    connect: { timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveIdleMs },
    keepAliveTimeout: idleConnectionTimeoutMs,
    // Each request has a deadline of its own; undici's timers would end long extracts.
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
