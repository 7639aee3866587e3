import { type ServerAddress } from "@galenaglade/fleet-state";
import { BoundedSocket, resetConnection, whenInputRead } from "@galenaglade/http-parts";
import { type Socket } from "node:net";
import { Client, type Dispatcher } from "undici";
import { idleConnectionTimeoutMs } from "../constants.js";
import { type ServerConnector } from "./serverConnector.js";

/** A connection that the server closed right after it was opened. */
class ClosedBeforeUseError extends Error {
    override readonly name = "ClosedBeforeUseError";
    /** Code of a connection that the server has reset. */
    readonly code = "ECONNRESET";

    constructor() {
        super("the connection was closed before it was used");
    }
}

/**
 * A connection to a backend server that carries one request at a time and is reopened if it is used after being closed.
 */
export class ServerConnection {
    readonly address: ServerAddress;
    readonly #client: Client;
    #destroyed = false;
    #hasResponded = false;
    #socket: Socket | undefined;

    /**
     * @param address - of the server
     * @param connector - opens its sockets
     */
    constructor(address: ServerAddress, connector: ServerConnector) {
        this.address = address;
        this.#client = new Client(`http://${address.host}:${address.port}`, {
            pipelining: 1,
            keepAliveTimeout: idleConnectionTimeoutMs,
            keepAliveMaxTimeout: idleConnectionTimeoutMs,
            // Each request has its own deadline.
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (_options, callback) => {
                connector.connect(address, opened => {
                    if (opened instanceof Error) {
                        callback(opened, null);
                        return;
                    }
                    this.#watchSocket(opened);
                    // The caller's end may have arrived while the connection was being opened.
                    void whenInputRead().then(() => {
                        if (opened.destroyed) {
                            callback(new ClosedBeforeUseError(), null);
                            return;
                        }
                        callback(null, opened);
                    });
                });
            },
        });
    }

    dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
        this.#client.dispatch(options, handler);
    }

    /** Whether a response was received on it; a later failure then doesn't show that new connections would fail. */
    get hasResponded(): boolean {
        return this.#hasResponded;
    }

    /** Bytes that lie behind the body of a response; `undefined` if there are none. */
    get bytesBehindBody(): Buffer | undefined {
        return this.#socket instanceof BoundedSocket ? this.#socket.bytesBehindBody : undefined;
    }

    /** Records that a response was received. */
    onResponse(): void {
        this.#hasResponded = true;
    }

    /** Whether it was closed and won't be reopened. */
    get destroyed(): boolean {
        return this.#destroyed;
    }

    /** Closes the connection permanently and aborts a request in flight. */
    destroy(): void {
        this.#destroyed = true;
        this.#client.destroy().catch(() => undefined);
    }

    /** Closes the connection permanently by a reset, which a server notices before it has read what was sent to it. */
    reset(): void {
        if (this.#socket !== undefined) {
            resetConnection(this.#socket, "sendAbandoned");
        }
        this.destroy();
    }

    #watchSocket(socket: Socket): void {
        this.#socket = socket;
        this.#hasResponded = false;
        socket.once("close", () => {
            this.#hasResponded = false;
        });
        // The HTTP client gets the socket later; an error without a listener ends the process.
        socket.on("error", () => undefined);
    }
}
