import { type AttemptOutcome, type PendingAttempt, combineDidRun, StallDetector } from "@galenaglade/at-most-once";
import { createFailure, type Failure, resolveFailure } from "@galenaglade/errors";
import { type ServerLoadTracker, type ServerId } from "@galenaglade/routing";
import { type Span, SpanKind, trace } from "@opentelemetry/api";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { type BackendConnections } from "../backends/backendConnections.js";
import { type Clock, hasDisconnected, readRequestBody, type RequestBody, whenInputRead } from "@galenaglade/http-parts";
import {
    deadlineHeader,
    maxBufferedBodyBytes,
    connectionLossRetryAfterSeconds,
    maxAttempts,
    dedicatedConnectionPatienceMs,
} from "../constants.js";
import { type RequestTelemetry } from "../telemetry/requestTelemetry.js";
import { type AttemptResult, runAttempt, type StallCheck } from "./attempt.js";
import { type CallerRequest } from "./callerRequest.js";
import { resolveForwardHeaders } from "./headers.js";
import { type Grant } from "./grant.js";
import { type HeldClaim, type RequestClaims } from "./requestClaims.js";
import { resolveAttemptCompletion } from "../coldStart/resolveAttemptCompletion.js";
import { type Scheduler } from "./scheduler.js";

/** A caller's request with its HTTP request and response objects. */
export interface Exchange {
    readonly request: CallerRequest;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    /** The caller's span. */
    readonly span: Span;
    /** Aborted when the caller's deadline passes, and for an idempotent request when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Dependencies of {@link Forwarder}. */
export interface ForwarderDeps {
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly board: ServerLoadTracker;
    readonly connections: BackendConnections;
    readonly telemetry: RequestTelemetry;
    /** Whether this gateway's configuration is fresh enough for new work. */
    readonly mayTakeNewWork: () => boolean;
    /** `undefined` without a store; non-idempotent requests with an idempotency key are then refused. */
    readonly claims: RequestClaims | undefined;
}

/** Result of a request over all its attempts. */
interface RequestEnd {
    readonly failure: Failure | undefined;
    readonly outcomes: readonly AttemptOutcome[];
    readonly status: number | undefined;
}

/** Forwards a request to a backend server and retries it on another one if that is safe. */
export class Forwarder {
    readonly #deps: ForwarderDeps;
    readonly #stallDetector = new StallDetector();

    constructor(deps: ForwarderDeps) {
        this.#deps = deps;
    }

    /**
     * @param exchange - the request to forward
     * @returns the failure to send to the caller, or `undefined` if the caller has got a response
     */
    async forward(exchange: Exchange): Promise<Failure | undefined> {
        const { request, req, signal } = exchange;
        const limits = {
            contentLength: request.bodyBytes,
            maxBytes: request.route.service.maximumBodyBytes,
            maxBufferedBytes: maxBufferedBodyBytes,
        };
        const read = await readRequestBody(limits, req, signal);
        if (read.isLeft()) {
            return read.extract();
        }
        const body = read.extract() as RequestBody;
        try {
            return await this.#forwardBody(exchange, body);
        }
        finally {
            body.close();
        }
    }

    async #forwardBody(exchange: Exchange, body: RequestBody): Promise<Failure | undefined> {
        const { request, req } = exchange;
        await whenInputRead(req.socket);
        if (hasDisconnected(req)) {
            return createFailure("patienceSpent", "the caller went away before the request was sent");
        }
        const claimed = await this.#claim(request, body);
        if (claimed.isLeft()) {
            return claimed.extract();
        }
        const claim = claimed.extract() as HeldClaim | undefined;
        const end = await this.#forwardClaimed(exchange, body, claim);
        const didRun = combineDidRun(end.outcomes);
        if (claim !== undefined) {
            this.#deps.claims?.end(claim, { didRun, status: end.status });
        }
        // The failure is that of the last attempt, but whether the request may have run depends on all attempts.
        return end.failure === undefined
            ? undefined
            : { ...end.failure, didRun, ...resolveRetryAfter(request, end.failure) };
    }

    async #claim(request: CallerRequest, body: RequestBody): Promise<Either<Failure, HeldClaim | undefined>> {
        const { idempotent, idempotencyKey } = request;
        if (idempotent || idempotencyKey === undefined || idempotencyKey === "") {
            return Right(undefined);
        }
        const { claims } = this.#deps;
        if (claims === undefined) {
            return Left(createFailure("storeUnavailable", "idempotency keys can't be claimed"));
        }
        return await claims.claim(request, idempotencyKey, body);
    }

    async #forwardClaimed(
        exchange: Exchange,
        body: RequestBody,
        claim: HeldClaim | undefined,
    ): Promise<RequestEnd> {
        const { request, signal } = exchange;
        const { scheduler } = this.#deps;
        const failedOn = new Set<ServerId>();
        const outcomes: AttemptOutcome[] = [];
        let lastFailure: Failure | undefined;
        let hasRetryToken = false;
        for (let attempt = 1; attempt <= maxAttempts; attempt++) {
            await whenInputRead(exchange.req.socket);
            if (signal.aborted || hasDisconnected(exchange.req)) {
                lastFailure ??= createFailure("patienceSpent", "the caller's patience ended before a try");
                break;
            }
            if (attempt > 1 && !hasRetryToken && !scheduler.tryAcquireRetry(request)) {
                break;
            }
            const grant = await scheduler.acquire(request, failedOn, signal);
            if (grant.isLeft()) {
                // The failure of an earlier attempt takes precedence over the failure to start this one.
                lastFailure ??= grant.extract();
                break;
            }
            const granted = grant.extract() as Grant;
            const result = await this.#runAttempt(exchange, body, claim, granted, outcomes);
            outcomes.push(result.outcome);
            hasRetryToken = result.stalled;
            lastFailure = result.failure;
            if (lastFailure === undefined || !result.outcome.mayRetry || !body.isReplayable) {
                return { failure: lastFailure, outcomes, status: result.status };
            }
            // A stalled connection is no evidence against its backend server, so the server stays eligible.
            if (!result.stalled) {
                failedOn.add(granted.target.serverId);
            }
        }
        return { failure: lastFailure, outcomes, status: undefined };
    }

    async #runAttempt(
        exchange: Exchange,
        body: RequestBody,
        claim: HeldClaim | undefined,
        grant: Grant,
        previousOutcomes: readonly AttemptOutcome[],
    ): Promise<AttemptResult> {
        const { scheduler, connections, board, clock, telemetry } = this.#deps;
        const { request } = exchange;
        const { serverId } = grant.target;
        const span = telemetry.startSpan(
            `${request.method} ${request.route.service.name}`,
            SpanKind.CLIENT,
            exchange.span,
        );
        span.setAttribute("galenaglade.backend_server", serverId);
        const remainingMs = Math.max(0, Math.floor(request.deadlineMs - clock.monotonicMs()));
        const headers = resolveForwardHeaders(exchange.req.rawHeaders, {
            [deadlineHeader]: String(remainingMs),
            ...telemetry.propagationHeaders(span),
        });
        const dedicated = needsDedicatedConnection(request, previousOutcomes);
        const connection = connections.open(grant.target, dedicated);
        const awaited: PendingAttempt = {
            service: request.route.service.name,
            serverId,
            sentAtMs: clock.monotonicMs(),
        };
        // A newly opened connection hasn't been idle, so it can't have become half-open.
        const canStall = request.idempotent && body.isReplayable && !dedicated;
        const result = await runAttempt({
            request,
            serverId,
            dispatcher: connection.dispatcher,
            body,
            res: exchange.res,
            headers,
            signal: exchange.signal,
            previousDidRun: combineDidRun(previousOutcomes),
            checkBeforeSend: () => this.#checkBeforeSend(exchange, grant, claim),
            stallCheck: canStall ? this.#createStallCheck(request, awaited) : undefined,
            onHead: () => this.#stallDetector.onHead(awaited, clock.monotonicMs()),
            onLoadReport: inFlight => board.onReport(serverId, { inFlight }, clock.monotonicMs()),
        });
        connection.release();
        const succeeded = result.failure === undefined;
        scheduler.release(request, grant, {
            latencyMs: succeeded ? result.headLatencyMs : undefined,
            succeeded,
            attempt: resolveAttemptCompletion(result),
        });
        if (!succeeded) {
            span.setAttribute("error.type", result.failure.kind);
        }
        span.end();
        return result;
    }

    /**
     * A slow request can't be distinguished reliably from a stalled connection. Abandoning it without a retry would
     * fail a request that may be about to succeed, so the attempt is abandoned only if the retry budget allows a retry.
     */
    #createStallCheck(request: CallerRequest, awaited: PendingAttempt): StallCheck {
        const { clock, scheduler } = this.#deps;
        return {
            checkDelayMs: () => this.#stallDetector.getTimeoutMs(awaited.service),
            isStalled: () =>
                this.#stallDetector.isStalled(awaited, clock.monotonicMs()) && scheduler.tryAcquireRetry(request),
        };
    }

    /**
     * Repeats the checks of the grant right before the first byte. A connection may have been opened since, and the
     * process may have been suspended, so the grant may be outdated. Running this in the same event loop turn as the
     * first write leaves no gap.
     */
    #checkBeforeSend({ request, req }: Exchange, grant: Grant, claim: HeldClaim | undefined): Failure | undefined {
        if (hasDisconnected(req)) {
            return createFailure("patienceSpent", "the caller went away before the request was sent");
        }
        if (this.#deps.clock.monotonicMs() >= request.deadlineMs) {
            return createFailure("patienceSpent", "the caller's patience ended before the request was sent");
        }
        if (!this.#deps.mayTakeNewWork()) {
            return createFailure("notFresh", "the configuration can't be shown to be current");
        }
        if (!this.#deps.scheduler.mayStillSend(grant)) {
            return createFailure("noBackendServer", "the backend server may not be sent to any more");
        }
        if (claim?.mayStillSend() === false) {
            return createFailure(
                "patienceSpent",
                "the claim of the idempotency key ran out before the request was sent",
            );
        }
        return undefined;
    }
}

/**
 * Adds a `Retry-After` for requests that are safe to repeat, also for error kinds without one in the failure table,
 * which doesn't know the request.
 */
function resolveRetryAfter(request: CallerRequest, failure: Failure): Pick<Failure, "retryAfterSeconds"> {
    const { retryAfterSeconds } = resolveFailure(failure);
    const isSafeToRepeat = request.idempotent || request.idempotencyKey !== undefined;
    return { retryAfterSeconds: retryAfterSeconds ?? (isSafeToRepeat ? connectionLossRetryAfterSeconds : undefined) };
}

/**
 * Decides whether a request is sent on a new connection. A pooled connection may be closed by the server just as the
 * request is written, so that it is unknown whether the request ran, or it may have become half-open while idle. A
 * new connection has neither problem but costs about a millisecond. It is used where a failure costs more: for
 * non-idempotent requests, requests with a long timeout, and retries.
 */
function needsDedicatedConnection(request: CallerRequest, previousOutcomes: readonly AttemptOutcome[]): boolean {
    const patienceMs = request.deadlineMs - request.arrivedAtMs;
    return !request.idempotent || patienceMs > dedicatedConnectionPatienceMs || previousOutcomes.length > 0;
}

/** @returns the trace id to report to the caller, or `undefined` if the span has no valid context */
export function traceIdOf(span: Span): string | undefined {
    const { traceId } = span.spanContext();
    return trace.isSpanContextValid(span.spanContext()) ? traceId : undefined;
}
