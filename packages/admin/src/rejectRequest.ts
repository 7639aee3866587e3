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
 * Refuses a request before any of its body is read, with the status and the error of the Connect protocol; clients of
 * gRPC read the status.
 *
 * @param req - the request
 * @param res - its response
 * @param kind - why
 * @param detail - for a person
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
 * Ends the request too once its answer is out, where not all of its body was read. Its sender may otherwise wait for
 * room to send the rest, and never read the answer, and its call, and a planned stop, stay open.
 *
 * @param req - a request that is about to be answered
 * @param res - its response
 */
export function discardRequestBody(req: ServerRequest, res: ServerResponse): void {
    if (!("stream" in req)) {
        // Whoever stops reading early would destroy the connection, and the answer with it; closing it with bytes
        // unread resets it, which may lose the answer too. So the rest is read and dropped.
        req[Symbol.asyncIterator] = () => req.iterator({ destroyOnReturn: false });
        res.once("finish", () => req.resume());
        return;
    }
    const { stream } = req;
    // After the trailers, since a reset drops what has not been framed by then.
    stream.once("wantTrailers", () => setImmediate(() => dropRestOfStream(stream)));
}

function dropRestOfStream(stream: ServerHttp2Stream): void {
    if (stream.readableEnded) {
        return;
    }
    stream.close(constants.NGHTTP2_NO_ERROR);
    // What has arrived has to be read, or the stream stays open; the request object would pause it.
    stream.removeAllListeners("data");
    stream.resume();
}

/**
 * Gives a request up whose body doesn't end.
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
