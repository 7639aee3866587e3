import { type RegisteredServer } from "@galenaglade/fleet-state";
import { connect } from "node:net";
import { connectTimeoutMs } from "../constants.js";

/** What a check of a backend server found: nobody listens there any more, somebody does, or neither is known. */
export type ServerState = "ended" | "listening" | "unknown";

/**
 * Checks whether backend servers that lost a request have ended. A connection is opened and closed and nothing is sent, so that a
 * server that is merely full isn't asked for more.
 */
export class ServerChecks {
    readonly #underWay = new Map<string, Promise<ServerState>>();

    /** @returns the state of a server; requests that were lost together share one check */
    check({ id, address }: RegisteredServer): Promise<ServerState> {
        const known = this.#underWay.get(id);
        if (known !== undefined) {
            return known;
        }
        const check = tryConnect(address.host, address.port).finally(() => this.#underWay.delete(id));
        this.#underWay.set(id, check);
        return check;
    }
}

function tryConnect(host: string, port: number): Promise<ServerState> {
    return new Promise(resolve => {
        const socket = connect({ host, port, timeout: connectTimeoutMs });
        const settle = (state: ServerState): void => {
            socket.destroy();
            resolve(state);
        };
        socket.once("connect", () => settle("listening"));
        socket.once("timeout", () => settle("unknown"));
        socket.on("error", (err: NodeJS.ErrnoException) => settle(err.code === "ECONNREFUSED" ? "ended" : "unknown"));
    });
}
