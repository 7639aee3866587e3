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

/** Options and dependencies of an {@link AdminServer}. */
export interface AdminServerOptions {
    readonly calls: OperatorCalls;
    readonly feed: StandingFeed;
    readonly fleetKey: Secret;
    /** Maximum size of a call's message in bytes. */
    readonly maximumMessageBytes: number;
    /** Maximum open connections; further ones are closed on arrival. */
    readonly maximumConnections: number;
    /** Maximum time to wait for calls in flight when the server stops, in milliseconds. */
    readonly drainMs: number;
    /** Logs each call; without a logger, calls aren't logged. */
    readonly logger?: Logger | undefined;
    /** Time within which a request must have arrived completely, in milliseconds. */
    readonly requestTimeoutMs?: number | undefined;
}

type Handler = (req: ServerRequest, res: ServerResponse) => void;

/** Serves the operators' API over gRPC and Connect (HTTP/1.1 and HTTP/2) on a single port. */
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
            // By default, a misspelt field such as an expected revision would be silently ignored.
            jsonOptions: { ignoreUnknownFields: false },
        });
        this.#listener = createServer({ allowHalfOpen: true }, socket => void this.#accept(socket));
        this.#listener.maxConnections = options.maximumConnections;
    }

    /**
     * Starts accepting calls.
     *
     * @param address - IP address
     * @param port - port; with 0 the system picks a free one
     * @returns the bound port
     * @throws the system's error, for example if the port is in use
     */
    async listen(address: string, port: number): Promise<number> {
        this.#listener.listen(port, address);
        await once(this.#listener, "listening");
        return (this.#listener.address() as AddressInfo).port;
    }

    /** Refuses new calls, ends watches, and closes once calls in flight have ended or the drain timeout has passed. */
    async stop(): Promise<void> {
        const closed = once(this.#listener, "close");
        this.#listener.close();
        this.#shutdown.abort(new ConnectError("this host is shutting down", Code.Unavailable));
        this.#connections.forEach(connection => connection.close());
        const drainTimer = setTimeout(
            () => this.#connections.forEach(connection => connection.destroy()),
            this.#options.drainMs,
        );
        await closed;
        clearTimeout(drainTimer);
    }

    async #accept(socket: Socket): Promise<void> {
        // A half-open connection, for example after a middlebox dropped its state, reports no error. TCP keep-alive
        // detects it, also while a watch has no events to send.
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
        // Checked before the body is read, so that unauthenticated clients can't make the server buffer large messages.
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
            // The adapter throws if the request's authority is no valid URL host. Uncaught, this would end the process.
            rejectRequest(req, res, "badRequest", err instanceof Error ? err.message : String(err));
        }
    }

    /** Limits the time to receive a body: an endless body would keep its call open and block a planned stop. */
    #limitBody(req: ServerRequest, res: ServerResponse): void {
        const timer = setTimeout(() => abortRequest(req), this.#requestTimeoutMs);
        req.once("end", () => clearTimeout(timer));
        res.once("close", () => clearTimeout(timer));
    }
}
