import { type HistoryEvent } from "@galenaglade/history";
import { readResponseBody } from "./responseBody.js";
import { parseResponseBytes } from "./requestedWork.js";
import { type SoakResponseMetadata, type SoakSystem } from "./soakSystem.js";

const okStatus = 200;
/** Statuses that guarantee that the request has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A response that looks whole by its framing. */
export interface ReceivedResponse {
    readonly requestId: string;
    /** Path of the request. */
    readonly path: string;
    readonly status: number;
    readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
    readonly body: string;
}

/** A response as it is recorded. */
export interface JudgedResponse {
    readonly event: Extract<HistoryEvent, { readonly type: "callerAnswered"; }>;
    readonly metadata: SoakResponseMetadata;
}

/** Compares a response that looks whole with the one that its server meant, byte by byte. */
export function judgeResponse(
    system: SoakSystem,
    { requestId, path, status, headers, body }: ReceivedResponse,
): JudgedResponse {
    const metadata = system.parseResponseHeaders(headers);
    const isOk = status === okStatus;
    const received = isOk ? readResponseBody(body, parseResponseBytes(path)) : undefined;
    return {
        metadata,
        event: {
            type: "callerAnswered",
            requestId,
            status,
            didRun: notRunStatuses.has(status) ? "no" : undefined,
            whole: !isOk || (metadata.signed && metadata.requestId === requestId && received?.isExact === true),
            bodyRequestId: received?.requestId,
            run: received && { server: received.server, number: received.run },
            received: isOk && received?.isExact !== true
                ? `${body.length} bytes, ${received?.wantedBytes ?? "unknown"} wanted, framed by ${
                    nameFraming(headers)
                }`
                : undefined,
        },
    };
}

function nameFraming(headers: ReceivedResponse["headers"]): string {
    if (headers["transfer-encoding"] !== undefined) {
        return "chunks";
    }
    return headers["content-length"] === undefined ? "its connection" : "length";
}
