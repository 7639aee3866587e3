import { type ServerAddress } from "@galenaglade/fleet-state";
import { type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { idleConnectionTimeoutMs } from "../constants.js";
import { type ServerConnector } from "./serverConnector.js";

/** One connection to one backend server, reopened when it is used after it was closed. Carries one request at a time. */
export class ServerConnection {
    readonly address: ServerAddress;
    readonly #client: Client;
    #socketFailed = false;
    #destroyed = false;
    #isProved = false;

    /**
     * @param address - of the server
     * @param links - open its sockets
     */
    constructor(address: ServerAddress, links: ServerConnector) {
        this.address = address;
        this.#client = new Client(`http://${address.host}:${address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleConnectionTimeoutMs,
            keepAliveMaxTimeout: idleConnectionTimeoutMs,
            // Each request has a deadline of its own.
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (_options, callback) => {
                links.connect(address, opened => {
                    if (opened instanceof Error) {
                        callback(opened, null);
                        return;
                    }
                    this.#watch(opened);
                    callback(null, opened);
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

    /** Whether an answer has come on it: what fails then says nothing of new connections. */
    get hasResponded(): boolean {
        return this.#isProved;
    }

    /** An answer has come on it. */
    onResponse(): void {
        this.#isProved = true;
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
        this.#isProved = false;
        socket.once("close", () => {
            this.#isProved = false;
        });
        // Placed before the client's own listener, so that the failure is known when the client reports the answer.
        socket.on("error", () => {
            this.#socketFailed = true;
        });
    }
}
