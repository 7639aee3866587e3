import { type ServerAddress } from "@galenaglade/fleet-state";
import { type Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { connectTimeoutMs, idleConnectionMs } from "../constants.js";

/** One connection to one backend server, reopened when it is used after it was closed. Carries one request at a time. */
export class ServerConnection {
    readonly address: ServerAddress;
    readonly #client: Client;
    #socketFailed = false;
    #destroyed = false;

    constructor(address: ServerAddress) {
        this.address = address;
        const open = buildConnector({ timeout: connectTimeoutMs });
        this.#client = new Client(`http://${address.host}:${address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleConnectionMs,
            keepAliveMaxTimeout: idleConnectionMs,
            // Each request has a deadline of its own.
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (options, callback) => {
                open(options, (...[err, socket]) => {
                    if (err === null) {
                        this.#watch(socket);
                        callback(null, socket);
                        return;
                    }
                    callback(err, null);
                });
            },
        });
    }

    /**
     * Whether the connection was reset. The client takes an answer without a declared length for whole when its
     * connection is reset, so that whoever reads one must ask here too.
     */
    get socketFailed(): boolean {
        return this.#socketFailed;
    }

    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
        this.#client.dispatch(options, handler);
    }

    /** Whether it is closed for good. */
    get destroyed(): boolean {
        return this.#destroyed;
    }

    /** Closes the connection for good, whatever is under way on it. */
    destroy(): void {
        this.#destroyed = true;
        this.#client.destroy().catch(() => undefined);
    }

    #watch(socket: Socket): void {
        this.#socketFailed = false;
        // Placed before the client's own listener, so that the failure is known when the client reports the answer.
        socket.on("error", () => {
            this.#socketFailed = true;
        });
    }
}
