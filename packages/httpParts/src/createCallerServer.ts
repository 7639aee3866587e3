import { createFailure, type ErrorKind, type Failure } from "@galenaglade/errors";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { renderRawFailure, writeFailure } from "./failureResponse.js";

/** Limits on what callers may take up. */
export interface CallerServerOptions {
    readonly maximumConnections: number;
    readonly maximumHeaderBytes: number;
    /** Time to send a whole request, body included. */
    readonly requestTimeoutMs: number;
    /** How long an idle connection is kept. */
    readonly keepAliveMs: number;
}

const kindByCode: Readonly<Record<string, ErrorKind>> = {
    HPE_HEADER_OVERFLOW: "headersTooLarge",
    ERR_HTTP_REQUEST_TIMEOUT: "requestTimeout",
};

/**
 * Makes the server that callers connect to, with its limits. Whatever can't be understood is answered with its reason
 * on its own connection, which then ends; nobody else's connection notices.
 *
 * @param limits - what callers may take up
 * @param handle - gets every request that was understood
 * @returns a server that doesn't listen yet
 */
export function createCallerServer(
    limits: CallerServerOptions,
    handle: (req: IncomingMessage, res: ServerResponse) => void,
): Server {
    const answers = new WeakMap<Socket, ServerResponse>();
    const server = createServer({
        maxHeaderSize: limits.maximumHeaderBytes,
        requestTimeout: limits.requestTimeoutMs,
        headersTimeout: limits.requestTimeoutMs,
        connectionsCheckingInterval: Math.min(1_000, limits.requestTimeoutMs),
        // Refused here in place of node, whose own refusal doesn't say why, nor that nothing ran.
        requireHostHeader: false,
        // Closed by this side first, a kept connection may break under the next request, so the time must be longer than
        // callers keep theirs.
        keepAliveTimeout: limits.keepAliveMs,
        // A small answer must not wait for the acknowledgement of the one before it.
        noDelay: true,
    }, (req, res) => {
        answers.set(req.socket, res);
        if (req.headers.host === undefined && req.httpVersion !== "1.0") {
            writeFailure(res, createFailure("badRequest", "the Host header is missing"), undefined, true);
            return;
        }
        handle(req, res);
    });
    server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
        refuseMalformed(err, socket, answers.get(socket));
    });
    let open = 0;
    server.on("connection", (socket: Socket) => {
        open++;
        socket.once("close", () => open--);
        if (open > limits.maximumConnections) {
            endWith(socket, createFailure("tooManyConnections", "this host takes no more connections"));
        }
    });
    return server;
}

function refuseMalformed(err: NodeJS.ErrnoException, socket: Socket, answer: ServerResponse | undefined): void {
    // While an answer is under way, bytes of a refusal would land inside it and the caller would take them for its
    // own. The connection is cut instead, which the caller can't mistake for a whole answer.
    const answerUnderWay = answer !== undefined && answer.headersSent && !answer.writableFinished;
    if (answerUnderWay || !socket.writable || err.code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    const kind = kindByCode[err.code ?? ""] ?? "badRequest";
    endWith(socket, createFailure(kind, `the request could not be read (${err.code ?? "unknown"})`));
}

function endWith(socket: Socket, failure: Failure): void {
    socket.end(renderRawFailure(failure), () => socket.destroy());
}
