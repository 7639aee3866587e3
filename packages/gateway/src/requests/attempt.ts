import {
    advanceAttempt,
    type ResponseHead,
    type Attempt,
    type AttemptEnd,
    type AttemptEvent,
    type AttemptOutcome,
    combineDidRun,
    createAttempt,
    didRunHeader,
    resolveAttempt,
} from "@galenaglade/at-most-once";
import { type ServerMetadata, emptyServerMetadata, parseServerMetadata } from "@galenaglade/cold-start";
import { createFailure, type DidRun, type Failure, FailureError } from "@galenaglade/errors";
import { resetCallerConnection, findHeader, type RawHeaders, type RequestBody } from "@galenaglade/http-parts";
import { type ServerId } from "@galenaglade/routing";
import { type ServerResponse } from "node:http";
import { type Dispatcher } from "undici";
import { backendInFlightHeader } from "../constants.js";
import { resolveFraming } from "./responseFraming.js";
import { type CallerRequest } from "./callerRequest.js";
import { resolveResponseHeaders } from "./headers.js";

/** Detects that an attempt's connection no longer delivers anything. */
export interface StallCheck {
    /** @returns the delay before the next check, in milliseconds */
    checkDelayMs(): number;
    isStalled(): boolean;
}

/** Input of one attempt to send a request to a backend server. */
export interface AttemptInput {
    readonly request: CallerRequest;
    readonly serverId: ServerId;
    /** Sends the request. For a non-idempotent request, a connection that is opened for it alone. */
    readonly dispatcher: Dispatcher;
    readonly body: RequestBody;
    readonly res: ServerResponse;
    readonly headers: string[];
    /** Aborted when the caller's deadline passes, and for an idempotent request when the caller disconnects. */
    readonly signal: AbortSignal;
    /** Whether an earlier attempt may have run the request. */
    readonly previousDidRun: DidRun;
    /** Called in the turn in which the first byte is written. @returns why the request must not be sent, if so */
    readonly checkBeforeSend: () => Failure | undefined;
    /** Run until the response headers arrive; `undefined` if the attempt may take until the caller's deadline. */
    readonly stallCheck: StallCheck | undefined;
    /** Called when the response headers arrive. */
    readonly onHead: () => void;
    /** Called with the number of requests in flight that the backend server reports in its response headers. */
    readonly onLoadReport: (inFlight: number) => void;
}

/** Result of an attempt. */
export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    readonly status: number | undefined;
    readonly headLatencyMs: number | undefined;
    /** The backend server's own metadata from the response headers. */
    readonly metadata: ServerMetadata;
    /** Whether the attempt was abandoned because its connection stalled. */
    readonly stalled: boolean;
    /** Why the caller got no complete response from this attempt; `undefined` if it got one. */
    readonly failure: Failure | undefined;
}

/**
 * Sends a request to a backend server and streams the response to the caller.
 *
 * @param input - the request and its destination
 * @returns the result, as soon as it is known; the promise never rejects
 */
export function runAttempt(input: AttemptInput): Promise<AttemptResult> {
    return new Promise(resolve => {
        const handler = new AttemptHandler(input, resolve);
        input.dispatcher.dispatch({
            method: input.request.method,
            path: input.request.url,
            headers: input.headers,
            body: input.body.open(),
            // By default undici treats only GET and HEAD as idempotent, and lets no other method share a connection.
            idempotent: input.request.idempotent,
        }, handler);
    });
}

/** Tracks one attempt on its connection and streams the response to the caller. */
class AttemptHandler implements Dispatcher.DispatchHandler {
    readonly #input: AttemptInput;
    readonly #resolve: (result: AttemptResult) => void;
    readonly #startedAtMs = performance.now();
    readonly #onAbort = (): void => this.#abandon();
    #attempt: Attempt;
    #controller: Dispatcher.DispatchController | undefined;
    #refusal: Failure | undefined;
    #headMs: number | undefined;
    #metadata = emptyServerMetadata;
    #settled = false;
    #stalled = false;
    #stallTimer: NodeJS.Timeout | undefined;

    constructor(input: AttemptInput, resolve: (result: AttemptResult) => void) {
        this.#input = input;
        this.#resolve = resolve;
        this.#attempt = createAttempt(input.request.idempotent);
        input.signal.addEventListener("abort", this.#onAbort, { once: true });
    }

    /** Called in the event loop turn in which the request is written, right before its first byte. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#settled || this.#attempt.handedOver) {
            // The attempt was abandoned while it waited for its connection, or undici is about to write the request a
            // second time. Sending it now would contradict the result that was already reported.
            controller.abort(createAbortError("the request is not sent any more"));
            return;
        }
        this.#refusal = this.#input.checkBeforeSend();
        if (this.#refusal !== undefined) {
            controller.abort(createAbortError(this.#refusal.detail));
            return;
        }
        this.#advance({ type: "handOver" });
        this.#scheduleStallCheck();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200 || this.#settled) {
            return;
        }
        const raw = readRawHeaders(controller.rawHeaders);
        const head = this.#readHead(status, raw);
        this.#metadata = parseServerMetadata(name => findHeader(raw, name));
        this.#headMs = performance.now() - this.#startedAtMs;
        this.#advance({ type: "headReceived", head });
        clearTimeout(this.#stallTimer);
        this.#input.onHead();
        const inFlight = Number(findHeader(raw, backendInFlightHeader) ?? Number.NaN);
        if (Number.isFinite(inFlight)) {
            this.#input.onLoadReport(inFlight);
        }
        if (!this.#isShed()) {
            this.#forwardHead(status, raw);
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.#advance({ type: "bodyReceived", bytes: chunk.length });
        const { res } = this.#input;
        if (this.#settled || this.#isShed() || res.destroyed) {
            return;
        }
        if (!res.write(chunk)) {
            controller.pause();
            const resume = (): void => {
                res.off("drain", resume);
                res.off("close", resume);
                controller.resume();
            };
            res.on("drain", resume);
            res.on("close", resume);
        }
    }

    onResponseEnd(): void {
        this.#finish("completed");
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        this.#finish(this.#attempt.handedOver ? "closed" : "connectFailed", err.message);
    }

    /**
     * Ends the attempt without waiting for the backend server, as the caller's deadline has passed. The connection is
     * destroyed: on a reused connection, the late response would be taken for the next request's.
     */
    #abandon(detail = "the caller's patience ended"): void {
        const controller = this.#controller;
        this.#finish("timedOut", detail);
        controller?.abort(createAbortError(detail));
    }

    /** Abandons the attempt if its connection stalls while the server responds on other connections. */
    #scheduleStallCheck(): void {
        const { stallCheck } = this.#input;
        if (stallCheck === undefined) {
            return;
        }
        this.#stallTimer = setTimeout(() => {
            if (!stallCheck.isStalled()) {
                this.#scheduleStallCheck();
                return;
            }
            this.#stalled = true;
            this.#abandon("the connection went silent while the backend server answered on others");
        }, stallCheck.checkDelayMs());
    }

    #advance(event: AttemptEvent): void {
        this.#attempt = advanceAttempt(this.#attempt, event);
    }

    #isShed(): boolean {
        return this.#attempt.head !== undefined && resolveAttempt(this.#attempt).failure === "backendShed";
    }

    #readHead(status: number, raw: RawHeaders): ResponseHead {
        return {
            status,
            didRunHeader: findHeader(raw, didRunHeader),
            framing: resolveFraming(this.#input.request.method, status, raw),
        };
    }

    #forwardHead(status: number, raw: RawHeaders): void {
        const { res, previousDidRun } = this.#input;
        if (res.destroyed) {
            return;
        }
        const headers = resolveResponseHeaders(raw);
        headers.push(didRunHeader, combineDidRun([{ didRun: previousDidRun }, resolveAttempt(this.#attempt)]));
        // What the caller still sends of this request would keep its connection from the next one.
        res.shouldKeepAlive &&= res.req.complete;
        res.writeHead(status, headers);
    }

    #finish(end: AttemptEnd, detail = ""): void {
        if (this.#settled) {
            return;
        }
        this.#settled = true;
        clearTimeout(this.#stallTimer);
        this.#input.signal.removeEventListener("abort", this.#onAbort);
        this.#advance({ type: "ended", end });
        const resolved = resolveAttempt(this.#attempt);
        // The reason for which this gateway didn't send the request holds for a retry too.
        const outcome = this.#refusal === undefined ? resolved : { ...resolved, mayRetry: false };
        const { res } = this.#input;
        if (outcome.failure === undefined) {
            res.end();
        }
        else if (res.headersSent) {
            // A truncated response that ends normally looks complete, only with less data. Once the headers are sent,
            // resetting the connection is the only way to signal the error.
            resetCallerConnection(res);
        }
        this.#resolve({
            outcome,
            status: this.#attempt.head?.status,
            headLatencyMs: this.#headMs,
            metadata: this.#metadata,
            stalled: this.#stalled,
            failure: this.#refusal ?? this.#createFailure(outcome, detail),
        });
    }

    #createFailure(outcome: AttemptOutcome, detail: string): Failure | undefined {
        if (outcome.failure === undefined) {
            return undefined;
        }
        return createFailure(outcome.failure, detail === "" ? outcome.failure : detail, { didRun: outcome.didRun });
    }
}

/** Header values are bytes: decoded as latin1, as they are encoded when written, so that no byte changes. */
function readRawHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
    if (!Array.isArray(raw)) {
        return [];
    }
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}

function createAbortError(detail: string): FailureError {
    return new FailureError(createFailure("patienceSpent", detail));
}
