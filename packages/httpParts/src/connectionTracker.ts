import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

interface ConnectionUse {
    /** Requests whose response isn't sent yet. */
    unanswered: number;
    /** When its last response was sent, or when it was accepted. */
    lastUsedAtMs: number;
    /** Bytes that it had received when its last request was complete. */
    requestBytes: number;
}

/** Tracks how the connections of an HTTP server are used, to close those that are idle without losing a response. */
export class ConnectionTracker {
    readonly #server: Server;
    readonly #nowMs: () => number;
    readonly #uses = new Map<Socket, ConnectionUse>();
    #lastAcceptedAtMs = -Infinity;

    /**
     * @param server - a server that isn't listening yet
     * @param nowMs - reads a monotonic clock
     */
    constructor(server: Server, nowMs: () => number = () => performance.now()) {
        this.#server = server;
        this.#nowMs = nowMs;
        server.on("connection", (socket: Socket) => this.#onConnection(socket));
        server.on("request", (req: IncomingMessage, res: ServerResponse) => this.#onRequest(req, res));
    }

    /** Number of open connections, including those that are being closed. */
    get openCount(): number {
        return this.#uses.size;
    }

    /** Number of connections that are closed for writing, and open until their callers have closed them too. */
    get closingCount(): number {
        return [...this.#uses.keys()].filter(socket => socket.writableEnded).length;
    }

    /** When the last connection was accepted, by the clock. */
    get lastAcceptedAtMs(): number {
        return this.#lastAcceptedAtMs;
    }

    /**
     * Stops accepting connections. Unlike `Server.close`, it closes none: that destroys connections whose response has
     * been written and isn't sent yet.
     */
    stopListening(): void {
        NetServer.prototype.close.call(this.#server);
    }

    /**
     * Closes the connections that wait for a next request of which nothing has arrived.
     *
     * @param minIdleMs - connections that were used more recently stay open, in milliseconds
     */
    closeIdle(minIdleMs: number): void {
        for (const [socket, { unanswered, lastUsedAtMs, requestBytes }] of this.#uses) {
            // A connection that is closed for writing may still be sending its last response.
            const isIdle = !socket.writableEnded && unanswered === 0 && socket.bytesRead <= requestBytes;
            if (isIdle && this.#nowMs() - lastUsedAtMs >= minIdleMs) {
                // Not read any further: a request that crosses the close stays unread, so that its caller may repeat it.
                socket.destroy();
            }
        }
    }

    #onConnection(socket: Socket): void {
        this.#lastAcceptedAtMs = this.#nowMs();
        this.#uses.set(socket, { unanswered: 0, lastUsedAtMs: this.#nowMs(), requestBytes: 0 });
        socket.once("close", () => this.#uses.delete(socket));
    }

    #onRequest(req: IncomingMessage, res: ServerResponse): void {
        const use = this.#uses.get(req.socket);
        if (use === undefined) {
            return;
        }
        use.unanswered++;
        use.requestBytes = req.socket.bytesRead;
        req.once("end", () => {
            use.requestBytes = req.socket.bytesRead;
        });
        res.once("close", () => {
            use.unanswered--;
            use.lastUsedAtMs = this.#nowMs();
        });
    }
}
