import { type Failure, type ResolvedFailure, resolveFailure } from "@galenaglade/errors";
import { type ServerResponse } from "node:http";
import { didRunHeader } from "@galenaglade/at-most-once";
import { resetCallerConnection } from "./resetCallerConnection.js";

const contentType = "application/problem+json";

/** The body of a failure's answer: problem details as RFC 9457 has them. */
function resolveProblem(failure: ResolvedFailure, traceId: string | undefined): string {
    return JSON.stringify({
        type: `urn:galenaglade:error:${failure.kind}`,
        title: failure.title,
        status: failure.status,
        detail: failure.detail,
        didRun: failure.didRun,
        traceId,
    });
}

function resolveFailureHeaders(failure: ResolvedFailure, body: string): Readonly<Record<string, string>> {
    return {
        "content-type": contentType,
        "content-length": String(Buffer.byteLength(body)),
        [didRunHeader]: failure.didRun,
        ...(failure.retryAfterSeconds === undefined ? {} : { "retry-after": String(failure.retryAfterSeconds) }),
    };
}

/**
 * Answers a request with a failure, at once and finally. Once an answer has begun it can't be taken back: the caller's
 * connection is cut instead, so that half an answer is never taken for a whole one.
 *
 * @param res - the caller's answer
 * @param failure - what went wrong
 * @param traceId - for the caller to quote
 * @param close - whether the caller's connection ends with this answer
 */
export function writeFailure(res: ServerResponse, failure: Failure, traceId: string | undefined, close: boolean): void {
    if (res.headersSent) {
        resetCallerConnection(res);
        return;
    }
    const resolved = resolveFailure(failure);
    const body = resolveProblem(resolved, traceId);
    res.writeHead(resolved.status, {
        ...resolveFailureHeaders(resolved, body),
        ...(close ? { connection: "close" } : {}),
    });
    res.end(body);
}

/**
 * A failure as bytes, for a request that was never understood and so has no answer object.
 *
 * @param failure - what went wrong
 * @returns a whole HTTP/1.1 answer that ends the connection
 */
export function renderRawFailure(failure: Failure): string {
    const resolved = resolveFailure(failure);
    const body = resolveProblem(resolved, undefined);
    const lines = [`HTTP/1.1 ${resolved.status} ${resolved.kind}`, "connection: close"];
    for (const [name, value] of Object.entries(resolveFailureHeaders(resolved, body))) {
        lines.push(`${name}: ${value}`);
    }
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
