import {
    advanceAttempt,
    type AnswerHead,
    type Attempt,
    type AttemptEnd,
    type AttemptEvent,
    type AttemptOutcome,
    combineDidRun,
    createAttempt,
    didRunHeader,
    resolveAttempt,
} from "@galenaglade/at-most-once";
import { type AnswerSigns, noSigns, resolveAnswerSigns } from "@galenaglade/cold-start";
import { createFailure, type DidRun, type Failure, FailureError } from "@galenaglade/errors";
import { resetCallerConnection, findHeader, type RawHeaders, type RequestBody } from "@galenaglade/http-parts";
import { type ServerId } from "@galenaglade/routing";
import { type ServerResponse } from "node:http";
import { type Dispatcher } from "undici";
import { backendInFlightHeader } from "../constants.js";
import { resolveFraming } from "./responseFraming.js";
import { type CallerRequest } from "./callerRequest.js";
import { resolveResponseHeaders } from "./headers.js";

/** Finds out whether an attempt's connection has gone silent. */
export interface StallCheck {
    /** Time in milliseconds after which to ask, and ask again. */
    checkDelayMs(): number;
    isStalled(): boolean;
}

/** One try of one request on one backend server. */
export interface AttemptInput {
    readonly request: CallerRequest;
    readonly serverId: ServerId;
    /** Where the request is handed over; a connection of its own for a non-idempotent one. */
    readonly dispatcher: Dispatcher;
    readonly body: RequestBody;
    readonly res: ServerResponse;
    readonly headers: string[];
    /** Aborted when the caller gives up. */
    readonly signal: AbortSignal;
    /** What the attempts before this one may have done. */
    readonly previousDidRun: DidRun;
    /** Asked in the same turn in which the first byte is given to the connection. */
    readonly checkBeforeSend: () => Failure | undefined;
    /** Asked while no head has come; absent where the attempt is left alone until its caller gives up. */
    readonly stallCheck: StallCheck | undefined;
    /** Called when the answer's head comes. */
    readonly onHead: () => void;
    /** Called with what the answer's head says of the backend server's load. */
    readonly onLoadReport: (inFlight: number) => void;
}

/** What came of a try. */
export interface AttemptResult {
    readonly outcome: AttemptOutcome;
    readonly status: number | undefined;
    readonly headLatencyMs: number | undefined;
    /** What the backend server said of itself in the answer's head. */
    readonly metadata: AnswerSigns;
    /** Whether it was given up for its connection, which went silent. */
    readonly stalled: boolean;
    /** Why the caller has no whole answer from this try; `undefined` where it has. */
    readonly failure: Failure | undefined;
}

/**
 * Sends a request to a backend server and streams its answer to the caller.
 *
 * @param input - the request, and where it goes
 * @returns what came of it, as soon as that is known; never fails
 */
export function runAttempt(input: AttemptInput): Promise<AttemptResult> {
    return new Promise(resolve => {
        const handler = new AttemptHandler(input, resolve);
        input.dispatcher.dispatch({
            method: input.request.method,
            path: input.request.url,
            headers: input.headers,
            body: input.body.open(),
            // Without it undici takes GET and HEAD alone for repeatable, and lets nothing else share a connection.
            idempotent: input.request.idempotent,
        }, handler);
    });
}

/** Follows one try on its connection, and passes its answer on. */
class AttemptHandler implements Dispatcher.DispatchHandler {
    readonly #input: AttemptInput;
    readonly #resolve: (result: AttemptResult) => void;
    readonly #startedAtMs = performance.now();
    readonly #onAbort = (): void => this.#abandon();
    #attempt: Attempt;
    #controller: Dispatcher.DispatchController | undefined;
    #refusal: Failure | undefined;
    #headMs: number | undefined;
    #signs = noSigns;
    #settled = false;
    #stalled = false;
    #stallTimer: NodeJS.Timeout | undefined;

    constructor(input: AttemptInput, resolve: (result: AttemptResult) => void) {
        this.#input = input;
        this.#resolve = resolve;
        this.#attempt = createAttempt(input.request.idempotent);
        input.signal.addEventListener("abort", this.#onAbort, { once: true });
    }

    /** Called in the turn in which the request is written, right before its first byte. */
    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.#controller = controller;
        if (this.#settled || this.#attempt.handedOver) {
            // Given up while it waited for its connection, or about to be written a second time: either way the
            // request must not leave, since what was said of it already would become untrue.
            controller.abort(createAbort("the request is not sent any more"));
            return;
        }
        this.#refusal = this.#input.checkBeforeSend();
        if (this.#refusal !== undefined) {
            controller.abort(createAbort(this.#refusal.detail));
            return;
        }
        this.#advance({ type: "handOver" });
        this.#awaitHead();
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status < 200 || this.#settled) {
            return;
        }
        const raw = readRawHeaders(controller.rawHeaders);
        const head = this.#readHead(status, raw);
        this.#signs = resolveAnswerSigns(name => findHeader(raw, name));
        this.#headMs = performance.now() - this.#startedAtMs;
        this.#advance({ type: "headReceived", head });
        clearTimeout(this.#stallTimer);
        this.#input.onHead();
        const inFlight = Number(findHeader(raw, backendInFlightHeader) ?? Number.NaN);
        if (Number.isFinite(inFlight)) {
            this.#input.onLoadReport(inFlight);
        }
        if (!this.#isShed()) {
            this.#passHeadOn(status, raw);
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
        this.#end("completed");
    }

    onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
        this.#end(this.#attempt.handedOver ? "closed" : "connectFailed", err.message);
    }

    /**
     * The caller's patience has ended: its final answer is due now, whatever the backend server does. The connection
     * has an answer outstanding, which would be the next caller's if it were used again, so it is destroyed with it.
     */
    #abandon(detail = "the caller's patience ended"): void {
        const controller = this.#controller;
        this.#end("timedOut", detail);
        controller?.abort(createAbort(detail));
    }

    /** One connection may have gone silent for good while the server answers on others: it alone is given up. */
    #awaitHead(): void {
        const { stallCheck } = this.#input;
        if (stallCheck === undefined) {
            return;
        }
        this.#stallTimer = setTimeout(() => {
            if (!stallCheck.isStalled()) {
                this.#awaitHead();
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

    #readHead(status: number, raw: RawHeaders): AnswerHead {
        return {
            status,
            didRunHeader: findHeader(raw, didRunHeader),
            framing: resolveFraming(this.#input.request.method, status, name => findHeader(raw, name)),
        };
    }

    #passHeadOn(status: number, raw: RawHeaders): void {
        const { res, previousDidRun } = this.#input;
        if (res.destroyed) {
            return;
        }
        const headers = resolveResponseHeaders(raw);
        headers.push(didRunHeader, combineDidRun([{ didRun: previousDidRun }, resolveAttempt(this.#attempt)]));
        res.writeHead(status, headers);
    }

    #end(end: AttemptEnd, detail = ""): void {
        if (this.#settled) {
            return;
        }
        this.#settled = true;
        clearTimeout(this.#stallTimer);
        this.#input.signal.removeEventListener("abort", this.#onAbort);
        this.#advance({ type: "ended", end });
        const resolved = resolveAttempt(this.#attempt);
        // What forbids the send now would forbid the next one too.
        const outcome = this.#refusal === undefined ? resolved : { ...resolved, mayRetry: false };
        const { res } = this.#input;
        if (outcome.failure === undefined) {
            res.end();
        }
        else if (res.headersSent) {
            // Half an answer that ends like a whole one reads as a shorter table, or a smaller catalog. Resetting the
            // connection is the one way left to say that it is not whole.
            resetCallerConnection(res);
        }
        this.#resolve({
            outcome,
            status: this.#attempt.head?.status,
            headLatencyMs: this.#headMs,
            metadata: this.#signs,
            stalled: this.#stalled,
            failure: this.#refusal ?? this.#describe(outcome, detail),
        });
    }

    #describe(outcome: AttemptOutcome, detail: string): Failure | undefined {
        if (outcome.failure === undefined) {
            return undefined;
        }
        return createFailure(outcome.failure, detail === "" ? outcome.failure : detail, { didRun: outcome.didRun });
    }
}

/** Header values are bytes; read in any other way than the one in which they are written, some would change. */
function readRawHeaders(raw: Dispatcher.DispatchController["rawHeaders"]): RawHeaders {
    if (!Array.isArray(raw)) {
        return [];
    }
    return raw.map(part => typeof part === "string" ? part : part.toString("latin1"));
}

function createAbort(detail: string): FailureError {
    return new FailureError(createFailure("patienceSpent", detail));
}
