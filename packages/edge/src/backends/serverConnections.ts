import { type ServerAddress } from "@galenaglade/fleet-state";
import { idleConnectionsPerServer } from "../constants.js";
import { ServerConnection } from "./serverConnection.js";

/** Kept connections to backend servers, by server. */
export class ServerConnections {
    readonly #idle = new Map<string, ServerConnection[]>();
    #opened = 0;

    /** Connections opened so far, first uses of kept ones included. */
    get opened(): number {
        return this.#opened;
    }

    /** @returns a connection that waits for work, or a new one */
    take(serverId: string, address: ServerAddress): ServerConnection {
        const idle = this.#idle.get(serverId);
        for (let kept = idle?.pop(); kept !== undefined; kept = idle?.pop()) {
            if (kept.address.host === address.host && kept.address.port === address.port) {
                return kept;
            }
            kept.destroy();
        }
        return this.open(address);
    }

    /** @returns a connection that nothing was sent on before */
    open(address: ServerAddress): ServerConnection {
        this.#opened++;
        return new ServerConnection(address);
    }

    /** Keeps a connection on which nothing is under way. */
    release(serverId: string, connection: ServerConnection): void {
        if (connection.destroyed) {
            return;
        }
        const idle = this.#idle.get(serverId) ?? [];
        this.#idle.set(serverId, idle);
        if (idle.length >= idleConnectionsPerServer) {
            connection.destroy();
            return;
        }
        idle.push(connection);
    }

    /** Closes the connections to servers that are no longer there. */
    retain(serverIds: ReadonlySet<string>): void {
        for (const [serverId, idle] of this.#idle) {
            if (!serverIds.has(serverId)) {
                this.#idle.delete(serverId);
                idle.forEach(connection => connection.destroy());
            }
        }
    }

    close(): void {
        this.retain(new Set());
    }
}
