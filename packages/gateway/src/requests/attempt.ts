import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerId } from "@galenaglade/routing";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import { type Dispatcher, errors, type Pool } from "undici";
import { backendInFlightHeader, didRunHeader } from "../constants.js";
import { type CallerRequest } from "./callerRequest.js";
import { type RawHeaders, resolveAnswerHeaders } from "./headers.js";

/** One try of one request on one backend server. */
export interface AttemptInput {
    readonly request: CallerRequest;
    readonly serverId: ServerId;
    readonly pool: Pool;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    readonly headers: string[];
    /** Aborted when the caller gives up or goes away. */
    readonly signal: AbortSignal;
    /** Called with what the answer's head says of the backend server's load. */
    readonly onInFlight: (inFlight: number) => void;
}

/** How a try ended. */
export type AttemptEnd =
    | { readonly type: "answered"; readonly status: number; readonly headMs: number; }
    | { readonly type: "failed"; readonly failure: Failure; readonly mayRetry: boolean; };

/**
 * Sends a request to a backend server and streams its answer to the caller.
 *
 * @param input - the request, and where it goes
 */
export async function runAttempt(input: AttemptInput): Promise<AttemptEnd> {
    const startedAt = performance.now();
    const hasBody = input.request.bodyBytes !== 0;
    let answer: Dispatcher.ResponseData;
    try {
        answer = await input.pool.request({
            method: input.request.method,
            path: input.request.url,
            headers: input.headers,
            body: hasBody ? input.req : undefined,
            signal: input.signal,
            responseHeaders: "raw",
        });
    }
    catch (err) {
        return resolveSendFailure(input.request, hasBody, err);
    }
    const headMs = performance.now() - startedAt;
    const raw = answer.headers as unknown as RawHeaders;
    const inFlight = Number(findHeader(raw, backendInFlightHeader) ?? Number.NaN);
    if (Number.isFinite(inFlight)) {
        input.onInFlight(inFlight);
    }
    if (answer.statusCode === 503 && findHeader(raw, didRunHeader) === "no") {
        await answer.body.dump();
        return { type: "failed", failure: createFailure("backendShed", "shed before running"), mayRetry: !hasBody };
    }
    return await relayAnswer(input, answer, raw, headMs);
}

async function relayAnswer(
    input: AttemptInput,
    answer: Dispatcher.ResponseData,
    raw: RawHeaders,
    headMs: number,
): Promise<AttemptEnd> {
    const headers = resolveAnswerHeaders(raw);
    headers.push(didRunHeader, "yes");
    input.res.writeHead(answer.statusCode, headers);
    try {
        await pipeline(answer.body, input.res);
    }
    catch {
        // The answer was cut short: ending it as if whole would hand the caller half an answer, so its connection goes.
        input.res.destroy();
        return {
            type: "failed",
            failure: createFailure("truncatedAnswer", "the answer was cut short"),
            mayRetry: false,
        };
    }
    return { type: "answered", status: answer.statusCode, headMs };
}

function resolveSendFailure(request: CallerRequest, hasBody: boolean, err: unknown): AttemptEnd {
    if (isConnectFailure(err)) {
        return { type: "failed", failure: createFailure("connectFailed", describe(err)), mayRetry: !hasBody };
    }
    const kind = err instanceof Error && err.name === "AbortError" ? "backendTimeout" : "connectionLost";
    const mayRetry = request.idempotent && !hasBody && kind === "connectionLost";
    return { type: "failed", failure: createFailure(kind, describe(err)), mayRetry };
}

const connectFailureCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]);

function isConnectFailure(err: unknown): boolean {
    if (err instanceof errors.ConnectTimeoutError) {
        return true;
    }
    return err instanceof Error && "code" in err && connectFailureCodes.has(String(err.code));
}

function describe(err: unknown): string {
    return err instanceof Error ? err.message : String(err);
}

function findHeader(raw: RawHeaders, name: string): string | undefined {
    for (let i = 0; i + 1 < raw.length; i += 2) {
        if (String(raw[i]).toLowerCase() === name) {
            return String(raw[i + 1]);
        }
    }
    return undefined;
}
