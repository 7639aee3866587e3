import { Code, ConnectError } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { type Secret } from "@galenaglade/settings";
import { type Logger } from "@galenaglade/telemetry";
import { once } from "node:events";
import * as http from "node:http";
import * as http2 from "node:http2";
import { type AddressInfo, createServer, type Server, type Socket } from "node:net";
import { Authorization } from "./authorization.js";
import { createCallLog } from "./callLog.js";
import { Connection } from "./connection.js";
import {
    idleTimeoutMs,
    tcpKeepAliveIdleMs,
    maximumCallTimeoutMs,
    maximumHeaderBytes,
    maximumStreamsPerConnection,
    requestTimeoutMs,
} from "./constants.js";
import { type OperatorCalls } from "./operatorCalls.js";
import { createOperatorRoutes } from "./operatorRoutes.js";
import { detectProtocol } from "./protocolDetection.js";
import {
    discardRequestBody,
    abortRequest,
    rejectRequest,
    type ServerRequest,
    type ServerResponse,
} from "./rejectRequest.js";
import { type StandingFeed } from "./standingFeed.js";

/** How an {@link AdminServer} is made. */
export interface AdminServerOptions {
    readonly calls: OperatorCalls;
    readonly feed: StandingFeed;
    readonly fleetKey: Secret;
    /** Size of one call's message in bytes. */
    readonly maximumMessageBytes: number;
    /** Connections held at once; more are closed as they come. */
    readonly maximumConnections: number;
    /** Time for the calls in flight to finish when the server stops, in milliseconds. */
    readonly drainMs: number;
    /** Gets a line for each call; without one, nothing is logged. */
    readonly logger?: Logger | undefined;
    /** Time in which a request must have arrived, in milliseconds. */
    readonly requestTimeoutMs?: number | undefined;
}

type Handler = (req: ServerRequest, res: ServerResponse) => void;

/** Serves the operators' calls by gRPC and Connect over HTTP/2, and by Connect over HTTP/1.1, on one port. */
export class AdminServer {
    readonly #options: AdminServerOptions;
    readonly #requestTimeoutMs: number;
    readonly #authorization: Authorization;
    readonly #handleCall: Handler;
    readonly #listener: Server;
    readonly #connections = new Set<Connection>();
    readonly #shutdown = new AbortController();

    constructor(options: AdminServerOptions) {
        this.#options = options;
        this.#requestTimeoutMs = options.requestTimeoutMs ?? requestTimeoutMs;
        this.#authorization = new Authorization(options.fleetKey);
        this.#handleCall = connectNodeAdapter({
            routes: createOperatorRoutes(options.calls, options.feed),
            interceptors: options.logger === undefined ? [] : [createCallLog(options.logger)],
            readMaxBytes: options.maximumMessageBytes,
            maxTimeoutMs: maximumCallTimeoutMs,
            shutdownSignal: this.#shutdown.signal,
            // A misspelt field would otherwise be dropped in silence, an expected revision for instance.
            jsonOptions: { ignoreUnknownFields: false },
        });
        this.#listener = createServer({ allowHalfOpen: true }, socket => void this.#accept(socket));
        this.#listener.maxConnections = options.maximumConnections;
    }

    /**
     * Starts to take calls.
     *
     * @param address - IP number
     * @param port - port; 0 lets the system choose
     * @returns the port
     * @throws what the system says, such as that the port is taken
     */
    async listen(address: string, port: number): Promise<number> {
        this.#listener.listen(port, address);
        await once(this.#listener, "listening");
        return (this.#listener.address() as AddressInfo).port;
    }

    /** Takes no new calls, ends watches, and closes when the calls in flight have finished or the time is up. */
    async stop(): Promise<void> {
        const closed = once(this.#listener, "close");
        this.#listener.close();
        this.#shutdown.abort(new ConnectError("this host is shutting down", Code.Unavailable));
        this.#connections.forEach(connection => connection.close());
        const deadline = setTimeout(
            () => this.#connections.forEach(connection => connection.destroy()),
            this.#options.drainMs,
        );
        await closed;
        clearTimeout(deadline);
    }

    async #accept(socket: Socket): Promise<void> {
        // A connection that something in between has forgotten stays silent for good; probes by the system find that
        // out, also while a watch has nothing to say.
        socket.setKeepAlive(true, tcpKeepAliveIdleMs);
        const connection = new Connection(socket, this.#requestTimeoutMs);
        this.#connections.add(connection);
        socket.once("close", () => this.#connections.delete(connection));
        switch (await detectProtocol(socket)) {
            case "http1":
                this.#serveHttp1(socket, connection);
                break;
            case "http2":
                this.#serveHttp2(socket, connection);
                break;
            case "closed":
                break;
        }
    }

    #serveHttp1(socket: Socket, connection: Connection): void {
        const server = http.createServer({
            maxHeaderSize: maximumHeaderBytes,
            keepAliveTimeout: idleTimeoutMs,
        }, (req, res) => this.#handle(req, res, connection));
        server.emit("connection", socket);
    }

    #serveHttp2(socket: Socket, connection: Connection): void {
        const server = http2.createServer({
            settings: { maxConcurrentStreams: maximumStreamsPerConnection, maxHeaderListSize: maximumHeaderBytes },
        }, (req, res) => this.#handle(req, res, connection));
        server.once("session", session => {
            session.setTimeout(idleTimeoutMs, () => session.close());
            connection.setSession(session);
        });
        server.emit("connection", socket);
    }

    #handle(req: ServerRequest, res: ServerResponse, connection: Connection): void {
        // Checked before the body is read, so that a stranger can't make the server hold large messages.
        if (!this.#authorization.accepts(req.headers.authorization)) {
            rejectRequest(req, res, "unauthenticated", "authorization: expected `Bearer` and the fleet's key");
            return;
        }
        if (this.#shutdown.signal.aborted) {
            rejectRequest(req, res, "stopping", "this host is shutting down");
            return;
        }
        connection.onCallStarted();
        res.once("close", () => connection.onCallEnded());
        discardRequestBody(req, res);
        this.#limitBody(req, res);
        try {
            this.#handleCall(req, res);
        }
        catch (err) {
            // The adapter throws on a request whose authority makes no URL; uncaught, it would end the process.
            rejectRequest(req, res, "badRequest", err instanceof Error ? err.message : String(err));
        }
    }

    /** A body that never ends would hold its call, and a planned stop, for ever. */
    #limitBody(req: ServerRequest, res: ServerResponse): void {
        const limit = setTimeout(() => abortRequest(req), this.#requestTimeoutMs);
        req.once("end", () => clearTimeout(limit));
        res.once("close", () => clearTimeout(limit));
    }
}
