import { type ServerAddress } from "@galenaglade/fleet-state";
import { recentProbeMs, maxIdleConnectionsPerServer, minQuietMs } from "../constants.js";
import { ServerConnection } from "./serverConnection.js";
import { DirectConnector, type ServerConnector } from "./serverConnector.js";

/** What a connection is given back after. */
export interface ConnectionUse {
    readonly after: "question" | "request";
    readonly nowMs: number;
}

interface IdleConnection {
    readonly connection: ServerConnection;
    /** When its server last answered a question on it, if nothing else was sent since. */
    readonly heardAtMs: number;
    /** When the last request on it ended. */
    readonly requestAtMs: number;
}

/** Kept connections to backend servers, by server. */
export class ServerConnectionPool {
    readonly #links: ServerConnector;
    readonly #idle = new Map<string, IdleConnection[]>();
    readonly #requestAtMs = new WeakMap<ServerConnection, number>();
    #opened = 0;

    /** @param links - open the sockets */
    constructor(links: ServerConnector = new DirectConnector()) {
        this.#links = links;
    }

    /** Connections opened so far, first uses of kept ones included. */
    get openedCount(): number {
        return this.#opened;
    }

    /** @returns a connection that waits for work, the one that was used last, or a new one */
    acquire(serverId: string, address: ServerAddress): ServerConnection {
        return this.#takeWhere(serverId, address, () => true) ?? this.open(address);
    }

    /**
     * For what may be sent only once. A server may close a kept connection just as something is written to it, or send a
     * late answer of a request before, and then nobody can say whether this one ran. Neither is to be feared where the
     * server answered a question on it a moment ago and no request ended on it for a while.
     *
     * @returns such a connection, or a new one
     */
    acquireQuiet(serverId: string, address: ServerAddress, nowMs: number): ServerConnection {
        const quiet = this.#takeWhere(
            serverId,
            address,
            ({ heardAtMs, requestAtMs }) => nowMs - heardAtMs <= recentProbeMs && nowMs - requestAtMs >= minQuietMs,
        );
        return quiet ?? this.open(address);
    }

    /** @returns whether no request was sent on a connection before; every question on it has had its answer */
    isFirstRequest(connection: ServerConnection): boolean {
        return !this.#requestAtMs.has(connection);
    }

    /** @returns a connection that nothing was sent on before */
    open(address: ServerAddress): ServerConnection {
        this.#opened++;
        return new ServerConnection(address, this.#links);
    }

    /** Keeps a connection on which nothing is under way. */
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
            this.#requestAtMs.set(connection, nowMs);
        }
        idle.push({
            connection,
            heardAtMs: after === "question" ? nowMs : -Infinity,
            requestAtMs: this.#requestAtMs.get(connection) ?? -Infinity,
        });
    }

    /** Closes the connections to servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const serverId of this.#idle.keys()) {
            if (!serverIds.has(serverId)) {
                this.closeIdle(serverId);
            }
        }
    }

    /** Closes the kept connections to one server; what is under way goes on. */
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

    #takeWhere(
        serverId: string,
        { host, port }: ServerAddress,
        fits: (idle: IdleConnection) => boolean,
    ): ServerConnection | undefined {
        const idle = this.#idle.get(serverId) ?? [];
        for (let i = idle.length - 1; i >= 0; i--) {
            const kept = idle[i];
            if (kept === undefined || !fits(kept)) {
                continue;
            }
            idle.splice(i, 1);
            const { address } = kept.connection;
            if (address.host === host && address.port === port) {
                return kept.connection;
            }
            kept.connection.destroy();
        }
        return undefined;
    }
}
