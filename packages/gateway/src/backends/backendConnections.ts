import { type ServerId } from "@galenaglade/routing";
import { Pool } from "undici";
import { connectionsPerServer, connectTimeoutMs, idleConnectionMs } from "../constants.js";
import { type ServiceTable, type Target } from "../requests/serviceTable.js";

interface Held {
    readonly origin: string;
    readonly pool: Pool;
}

/** Connections to backend servers, a pool each. One request at a time goes over a connection. */
export class BackendConnections {
    readonly #held = new Map<ServerId, Held>();

    /** @returns the pool for a backend server, opened when first asked for */
    poolOf(target: Target): Pool {
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
                named.add(`${route.service.name}/${server.name}`);
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
        const pools = [...this.#held.values()].map(held => held.pool);
        this.#held.clear();
        await Promise.all(pools.map(pool => pool.close()));
    }

    #closeGently(pool: Pool): void {
        pool.close().catch(() => undefined);
    }
}

function createPool(origin: string): Pool {
    return new Pool(origin, {
        connections: connectionsPerServer,
        pipelining: 1,
        connect: { timeout: connectTimeoutMs },
        keepAliveTimeout: idleConnectionMs,
        // Each request has a deadline of its own; the pool's timers would end long extracts.
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

function originOf(target: Target): string {
    const { address, port } = target.server;
    return address.includes(":") ? `http://[${address}]:${port}` : `http://${address}:${port}`;
}
