import { createFailure, type Failure } from "@galenaglade/errors";
import { type ServerBoard, type ServerId } from "@galenaglade/routing";
import { type Span, SpanKind, trace } from "@opentelemetry/api";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type BackendConnections } from "../backends/backendConnections.js";
import { type Clock } from "../clock.js";
import { deadlineHeader, maximumAttempts } from "../constants.js";
import { type RequestTelemetry } from "../telemetry/requestTelemetry.js";
import { type AttemptEnd, runAttempt } from "./attempt.js";
import { type CallerRequest } from "./callerRequest.js";
import { resolveForwardHeaders } from "./headers.js";
import { type Grant, type Scheduler } from "./scheduler.js";

/** A request with its two ends. */
export interface Exchange {
    readonly request: CallerRequest;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
    /** The caller's span. */
    readonly span: Span;
    /** Aborted when the caller's patience ends or the caller goes away. */
    readonly signal: AbortSignal;
}

/** What the forwarder works with. */
export interface ForwarderParts {
    readonly clock: Clock;
    readonly scheduler: Scheduler;
    readonly board: ServerBoard;
    readonly connections: BackendConnections;
    readonly telemetry: RequestTelemetry;
}

/** Takes a request to a backend server, and to another where the first try may be repeated. */
export class Forwarder {
    readonly #parts: ForwarderParts;

    constructor(parts: ForwarderParts) {
        this.#parts = parts;
    }

    /**
     * @param exchange - the request with its two ends
     * @returns the failure to answer with, or `undefined` once the caller has its answer
     */
    async forward(exchange: Exchange): Promise<Failure | undefined> {
        const failedOn = new Set<ServerId>();
        let last: Failure | undefined;
        for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
            if (exchange.signal.aborted) {
                return last ?? createFailure("patienceSpent", "the caller's patience ended before a try");
            }
            if (attempt > 1 && !this.#parts.scheduler.takeRetry(exchange.request)) {
                return last;
            }
            const grant = await this.#parts.scheduler.acquire(exchange.request, failedOn);
            if (grant.isLeft()) {
                // What an earlier try did goes before what this one could not begin: it may have run.
                return last ?? (grant.extract());
            }
            const granted = grant.extract() as Grant;
            const end = await this.#tryOnce(exchange, granted);
            if (end.type === "answered") {
                return undefined;
            }
            last = end.failure;
            if (!end.mayRetry) {
                return last;
            }
            failedOn.add(granted.target.serverId);
        }
        return last;
    }

    async #tryOnce(exchange: Exchange, grant: Grant): Promise<AttemptEnd> {
        const { scheduler, connections, board, clock, telemetry } = this.#parts;
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
        const end = await runAttempt({
            request,
            serverId,
            pool: connections.poolOf(grant.target),
            req: exchange.req,
            res: exchange.res,
            headers,
            signal: exchange.signal,
            onInFlight: inFlight => board.onReport(serverId, { inFlight }, clock.monotonicMs()),
        });
        const answered = end.type === "answered";
        scheduler.release(request, grant, { latencyMs: answered ? end.headMs : undefined, succeeded: answered });
        if (!answered) {
            span.setAttribute("error.type", end.failure.kind);
        }
        span.end();
        return end;
    }
}

/** @returns the trace id that a caller may quote, or `undefined` where there is none */
export function traceIdOf(span: Span): string | undefined {
    const { traceId } = span.spanContext();
    return trace.isSpanContextValid(span.spanContext()) ? traceId : undefined;
}
