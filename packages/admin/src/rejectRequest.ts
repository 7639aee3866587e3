import { codeToString } from "@connectrpc/connect/protocol-connect";
import { createFailure, type ErrorKind, resolveFailure } from "@galenaglade/errors";
import { type IncomingMessage, type ServerResponse as Http1ServerResponse } from "node:http";
import { constants, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Stream } from "node:http2";
import { connectCodes } from "./callFailure.js";

/** A request over HTTP/1.1 or HTTP/2. */
export type ServerRequest = IncomingMessage | Http2ServerRequest;
/** The response to a {@link ServerRequest}. */
export type ServerResponse = Http1ServerResponse | Http2ServerResponse;

/**
 * Rejects a request before its body is read, with the HTTP status and error body of the Connect protocol. gRPC clients
 * derive their status code from the HTTP status.
 *
 * @param req - the request
 * @param res - its response
 * @param kind - error kind
 * @param detail - human-readable explanation
 */
export function rejectRequest(req: ServerRequest, res: ServerResponse, kind: ErrorKind, detail: string): void {
    const { status, retryAfterSeconds } = resolveFailure(createFailure(kind, detail));
    if (res.headersSent) {
        abortRequest(req);
        return;
    }
    const body = JSON.stringify({ code: codeToString(connectCodes[kind]), message: detail });
    const headers: Record<string, string> = { "content-type": "application/json" };
    if (retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(retryAfterSeconds);
    }
    if (isHttp1(res)) {
        headers["connection"] = "close";
        res.writeHead(status, headers).end(body);
        return;
    }
    discardRequestBody(req, res);
    res.writeHead(status, headers);
    res.end(body);
}

function isHttp1(res: ServerResponse): res is Http1ServerResponse {
    return !("stream" in res);
}

/**
 * Discards the unread rest of a request's body once the response is sent. Otherwise the client may wait for flow
 * control to send the rest and never read the response, which keeps the call open and blocks a planned stop.
 *
 * @param req - the request, before its response is sent
 * @param res - its response
 */
export function discardRequestBody(req: ServerRequest, res: ServerResponse): void {
    if (!("stream" in req)) {
        // By default, leaving the iteration early destroys the connection and the response with it. Closing it with
        // unread bytes sends a reset, which may lose the response too. So the rest of the body is read and discarded.
        req[Symbol.asyncIterator] = () => req.iterator({ destroyOnReturn: false });
        res.once("finish", () => req.resume());
        return;
    }
    const { stream } = req;
    // Deferred until the trailers are sent, since a reset drops data that hasn't been framed yet.
    stream.once("wantTrailers", () => setImmediate(() => dropRestOfStream(stream)));
}

function dropRestOfStream(stream: ServerHttp2Stream): void {
    if (stream.readableEnded) {
        return;
    }
    stream.close(constants.NGHTTP2_NO_ERROR);
    // Received data must be consumed or the stream stays open. The request object's listeners would pause the stream.
    stream.removeAllListeners("data");
    stream.resume();
}

/**
 * Aborts a request whose body doesn't end.
 *
 * @param req - the request
 */
export function abortRequest(req: ServerRequest): void {
    if ("stream" in req) {
        req.stream.close(constants.NGHTTP2_CANCEL);
        req.stream.destroy();
        return;
    }
    req.destroy();
}
