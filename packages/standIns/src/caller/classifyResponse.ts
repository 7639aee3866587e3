import { type DidRun } from "@galenaglade/errors";
import { backendResponseSchema, computeDigest } from "../backendServer/backendResponse.js";

/** How a request ended for its caller. */
export type RequestOutcome =
    /** The whole answer to its own request. */
    | { readonly type: "whole"; readonly status: number; readonly bodyRequestId: string; }
    /** A final answer that says why not. */
    | { readonly type: "refused"; readonly status: number; readonly didRun: DidRun | undefined; }
    /** An answer that belongs to another request, or differs from its digest. */
    | { readonly type: "wrong"; readonly status: number; readonly bodyRequestId: string | undefined; }
    /** The connection ended before the answer did. */
    | { readonly type: "cutOff"; }
    /** Nothing came in the caller's time. */
    | { readonly type: "gaveUp"; }
    /** The caller had too many open requests to send it. */
    | { readonly type: "notSent"; };

/** An answer as it came. */
export interface ReceivedResponse {
    readonly status: number;
    readonly didRun: string | undefined;
    readonly bodyDigest: string | undefined;
    readonly text: string;
}

/**
 * Judges an answer that ended properly.
 *
 * @param requestId - whose it should be
 * @param received - the answer
 * @returns what the caller got
 */
export function classifyResponse(requestId: string, received: ReceivedResponse): RequestOutcome {
    if (received.status >= 400) {
        return { type: "refused", status: received.status, didRun: resolveDidRun(received.didRun) };
    }
    const bodyRequestId = findRequestId(received.text);
    if (bodyRequestId !== requestId || computeDigest(received.text) !== received.bodyDigest) {
        return { type: "wrong", status: received.status, bodyRequestId };
    }
    return { type: "whole", status: received.status, bodyRequestId };
}

function resolveDidRun(text: string | undefined): DidRun | undefined {
    return text === "no" || text === "yes" || text === "unknown" ? text : undefined;
}

function findRequestId(text: string): string | undefined {
    try {
        return backendResponseSchema.parse(JSON.parse(text)).requestId;
    }
    catch {
        return undefined;
    }
}
