import { type ServerAddress } from "@galenaglade/fleet-state";
import { recentProbeMs, maxIdleConnectionsPerServer, minQuietMs } from "../constants.js";
import { ServerConnection } from "./serverConnection.js";
import { DirectConnector, type ServerConnector } from "./serverConnector.js";

/** The use after which a connection is returned to the pool. */
export interface ConnectionUse {
    readonly after: "question" | "request";
    readonly nowMs: number;
}

interface IdleConnection {
    readonly connection: ServerConnection;
    /** When the last load probe on it was answered, if nothing else was sent since. */
    readonly probedAtMs: number;
    /** When the last request on it finished. */
    readonly lastRequestAtMs: number;
}

/** Pool of connections to backend servers, keyed by server. */
export class ServerConnectionPool {
    readonly #connector: ServerConnector;
    readonly #idle = new Map<string, IdleConnection[]>();
    readonly #lastRequestAtMs = new WeakMap<ServerConnection, number>();
    #openedCount = 0;

    /** @param connector - opens the sockets */
    constructor(connector: ServerConnector = new DirectConnector()) {
        this.#connector = connector;
    }

    /** Number of connections created so far. */
    get openedCount(): number {
        return this.#openedCount;
    }

    /** @returns the most recently used idle connection to the server, or a new one */
    acquire(serverId: string, address: ServerAddress): ServerConnection {
        return this.#acquireWhere(serverId, address, () => true) ?? this.open(address);
    }

    /**
     * Acquires a connection for a non-idempotent request. A server may close an idle connection just as a request is
     * written to it, or send a late second response to an earlier request; then it is unknown whether this request was
     * executed. Both are unlikely if a load probe was answered on the connection a moment ago and no request has
     * finished on it for a while.
     *
     * @returns such a connection, or a new one
     */
    acquireQuiet(serverId: string, address: ServerAddress, nowMs: number): ServerConnection {
        const quiet = this.#acquireWhere(
            serverId,
            address,
            ({ probedAtMs, lastRequestAtMs }) =>
                nowMs - probedAtMs <= recentProbeMs && nowMs - lastRequestAtMs >= minQuietMs,
        );
        return quiet ?? this.open(address);
    }

    /**
     * @returns whether the next request on a connection is its first, apart from load probes, which were all answered
     */
    isFirstRequest(connection: ServerConnection): boolean {
        return !this.#lastRequestAtMs.has(connection);
    }

    /** @returns a new connection */
    open(address: ServerAddress): ServerConnection {
        this.#openedCount++;
        return new ServerConnection(address, this.#connector);
    }

    /** Returns a connection without a request in flight to the pool. */
    release(serverId: string, connection: ServerConnection, { after, nowMs }: ConnectionUse): void {
        if (connection.destroyed) {
            return;
        }
        const idle = this.#idle.get(serverId) ?? [];
        this.#idle.set(serverId, idle);
        if (idle.length >= maxIdleConnectionsPerServer) {
            connection.destroy();
            return;
        }
        if (after === "request") {
            this.#lastRequestAtMs.set(connection, nowMs);
        }
        idle.push({
            connection,
            probedAtMs: after === "question" ? nowMs : -Infinity,
            lastRequestAtMs: this.#lastRequestAtMs.get(connection) ?? -Infinity,
        });
    }

    /** Closes the idle connections to all servers except the given ones. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#idle.keys()) {
            if (!serverIds.has(serverId)) {
                this.closeIdle(serverId);
            }
        }
    }

    /** Closes the idle connections to one server; requests in flight on others continue. */
    closeIdle(serverId: string): void {
        const idle = this.#idle.get(serverId) ?? [];
        this.#idle.delete(serverId);
        for (const { connection } of idle) {
            connection.destroy();
        }
    }

    close(): void {
        this.retain(new Set());
    }

    #acquireWhere(
        serverId: string,
        { host, port }: ServerAddress,
        isSuitable: (idle: IdleConnection) => boolean,
    ): ServerConnection | undefined {
        const idle = this.#idle.get(serverId) ?? [];
        for (let i = idle.length - 1; i >= 0; i--) {
            const candidate = idle[i];
            if (candidate === undefined || !isSuitable(candidate)) {
                continue;
            }
            idle.splice(i, 1);
            const { address } = candidate.connection;
            if (address.host === host && address.port === port) {
                return candidate.connection;
            }
            candidate.connection.destroy();
        }
        return undefined;
    }
}
