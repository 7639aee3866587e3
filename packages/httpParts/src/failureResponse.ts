import { type Failure, type ResolvedFailure, resolveFailure } from "@galenaglade/errors";
import { type ServerResponse } from "node:http";
import { didRunHeader } from "@galenaglade/at-most-once";
import { resetCallerConnection } from "./resetCallerConnection.js";

const contentType = "application/problem+json";

/** Creates the response body for a failure: problem details (RFC 9457). */
function createProblemBody(failure: ResolvedFailure, traceId: string | undefined): string {
    return JSON.stringify({
        type: `urn:galenaglade:error:${failure.kind}`,
        title: failure.title,
        status: failure.status,
        detail: failure.detail,
        didRun: failure.didRun,
        traceId,
    });
}

function createFailureHeaders(failure: ResolvedFailure, body: string): Readonly<Record<string, string>> {
    return {
        "content-type": contentType,
        "content-length": String(Buffer.byteLength(body)),
        [didRunHeader]: failure.didRun,
        ...(failure.retryAfterSeconds === undefined ? {} : { "retry-after": String(failure.retryAfterSeconds) }),
    };
}

/**
 * Sends a failure as the response. If the response headers were already sent, the caller's connection is reset
 * instead, so that a partial response is never taken for a complete one.
 *
 * @param res - the response to the caller
 * @param failure - the failure
 * @param traceId - trace id that the caller can quote in a support request
 * @param close - whether to close the caller's connection after this response
 */
export function writeFailure(res: ServerResponse, failure: Failure, traceId: string | undefined, close: boolean): void {
    if (res.headersSent) {
        resetCallerConnection(res);
        return;
    }
    const resolved = resolveFailure(failure);
    const body = createProblemBody(resolved, traceId);
    res.writeHead(resolved.status, {
        ...createFailureHeaders(resolved, body),
        ...(close ? { connection: "close" } : {}),
    });
    res.end(body);
}

/**
 * Renders a failure as a raw HTTP response, for a malformed request, which has no response object.
 *
 * @param failure - the failure
 * @returns a complete HTTP/1.1 response that closes the connection
 */
export function renderRawFailure(failure: Failure): string {
    const resolved = resolveFailure(failure);
    const body = createProblemBody(resolved, undefined);
    const lines = [`HTTP/1.1 ${resolved.status} ${resolved.kind}`, "connection: close"];
    for (const [name, value] of Object.entries(createFailureHeaders(resolved, body))) {
        lines.push(`${name}: ${value}`);
    }
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
