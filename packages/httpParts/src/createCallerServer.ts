import { createFailure, type ErrorKind, type Failure } from "@galenaglade/errors";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { enableDisconnects, outstandingResponses } from "./callerDisconnects.js";
import { CallerMemory } from "./callerMemory.js";
import { enableInputSlices } from "./inputSlices.js";
import { enableLingeringClose } from "./lingeringClose.js";
import { renderRawFailure, writeFailure } from "./failureResponse.js";
import { resetConnection } from "./resetConnection.js";

/** Limits and timeouts for callers' connections. */
export interface CallerServerOptions {
    readonly maximumConnections: number;
    readonly maximumHeaderBytes: number;
    /** Time within which a caller must have sent its whole request, including the body, in milliseconds. */
    readonly requestTimeoutMs: number;
    /** Time for which an idle connection is kept open, in milliseconds. */
    readonly keepAliveMs: number;
    /**
     * Whether a request that is being handled may still be reported as not run, if the rest of it can't be read. By
     * default it may.
     */
    readonly mayRefuse?: (res: ServerResponse) => boolean;
    /** Account of the memory that callers make the process hold; by default one of this server's own. */
    readonly memory?: CallerMemory;
}

/** Time for which a connection must have been idle to be closed for a new one, in milliseconds. */
const minIdleMs = 250;

const kindByCode: Readonly<Record<string, ErrorKind>> = {
    HPE_HEADER_OVERFLOW: "headersTooLarge",
    ERR_HTTP_REQUEST_TIMEOUT: "requestTimeout",
};

/**
 * Creates the HTTP server for callers. A malformed request gets an error response with the reason, after which its
 * connection is closed; other connections are not affected.
 *
 * @param limits - limits and timeouts
 * @param handle - request handler, called for well-formed requests only
 * @returns a server that is not listening yet
 */
export function createCallerServer(
    limits: CallerServerOptions,
    handle: (req: IncomingMessage, res: ServerResponse) => void,
): Server {
    const memory = limits.memory ?? new CallerMemory();
    const server = createServer({
        maxHeaderSize: limits.maximumHeaderBytes,
        requestTimeout: limits.requestTimeoutMs,
        headersTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: Math.min(1_000, limits.requestTimeoutMs),
        // A missing Host header is refused below, because Node's own response contains neither the reason nor that the
        // request did not run.
        requireHostHeader: false,
        // If this side closes an idle connection first, the caller's next request may fail on it. This time must be
        // longer than the callers' keep-alive time.
        keepAliveTimeout: limits.keepAliveMs,
        // Without this, Nagle's algorithm delays a small response until the previous one is acknowledged.
        noDelay: true,
    }, (req, res) => {
        if (!memory.admit(req, res)) {
            return;
        }
        if (req.headers.host === undefined && req.httpVersion !== "1.0") {
            writeFailure(res, createFailure("badRequest", "the Host header is missing"), undefined, true);
            return;
        }
        handle(req, res);
    });
    server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
        rejectMalformed(err, socket, limits.mayRefuse);
    });
    enableLingeringClose(server);
    enableDisconnects(server);
    memory.watch(server);
    // The rest of what a connection brings that is being closed is discarded.
    enableInputSlices(server, socket => !socket.writableEnded && !memory.isSealed(socket));
    let openConnections = 0;
    server.on("connection", (socket: Socket) => {
        openConnections++;
        socket.once("close", () => openConnections--);
        if (openConnections > limits.maximumConnections && !memory.closeIdle(minIdleMs)) {
            closeWithFailure(socket, createFailure("tooManyConnections", "this host takes no more connections"));
        }
    });
    return server;
}

function rejectMalformed(
    err: NodeJS.ErrnoException,
    socket: Socket,
    mayRefuse: (res: ServerResponse) => boolean = () => true,
): void {
    // The malformed request may be one behind others, and the error response would be taken for the first one's.
    const outstanding = outstandingResponses(socket);
    // A body that is streamed may be at a server already.
    const mayHaveRun = outstanding.some(res => !res.writableEnded && !mayRefuse(res));
    // While a response is being sent, the error response would be written into it and the caller would take it for part
    // of the body. The connection is reset instead: a close would look like the end of a response without a length.
    const isResponding = outstanding.some(res => res.headersSent && !res.writableFinished);
    if (isResponding) {
        resetConnection(socket, "malformed");
        return;
    }
    if (mayHaveRun || !socket.writable || err.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const kind = kindByCode[err.code ?? ""] ?? "badRequest";
    closeWithFailure(socket, createFailure(kind, `the request could not be read (${err.code ?? "unknown"})`));
}

function closeWithFailure(socket: Socket, failure: Failure): void {
    socket.end(renderRawFailure(failure), () => socket.destroy());
}
