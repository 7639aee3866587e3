import { createFailure, type Failure, resolveFailure } from "@galenaglade/errors";
import { type Logger } from "@galenaglade/telemetry";
import { type Span, SpanKind } from "@opentelemetry/api";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Either, Left } from "purify-ts";
import { type Clock, writeFailure } from "@galenaglade/http-parts";
import { type CallerRequest, resolveCallerRequest } from "../requests/callerRequest.js";
import { type Forwarder, traceIdOf } from "../requests/forwarder.js";
import { type ServiceTable } from "../requests/serviceTable.js";
import { type RequestTelemetry } from "../telemetry/requestTelemetry.js";

/** What the handler works with. */
export interface CallerHandlerDeps {
    readonly clock: Clock;
    readonly forwarder: Forwarder;
    readonly telemetry: RequestTelemetry;
    readonly logger: Logger;
    readonly table: () => ServiceTable | undefined;
    readonly mayTakeNewWork: () => boolean;
}

/** Takes each caller's request from its arrival to its one final answer. */
export class CallerHandler {
    readonly #parts: CallerHandlerDeps;
    readonly #answers = new Set<ServerResponse>();
    #leaving = false;
    #stopping = false;
    #onIdle: (() => void) | undefined;

    constructor(parts: CallerHandlerDeps) {
        this.#parts = parts;
    }

    /**
     * From now on each answer ends its caller's connection. A kept one would be cut at the end of the stop, perhaps just
     * as its caller sends the next request on it, who then couldn't know whether that ran.
     */
    beginDrain(): void {
        this.#leaving = true;
        for (const res of this.#answers) {
            res.shouldKeepAlive = false;
        }
    }

    /** From now on new requests are refused. @returns once the last request in flight has its answer */
    stop(): Promise<void> {
        this.#stopping = true;
        if (this.#answers.size === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#onIdle = resolve;
        });
    }

    /** Handles one request; never throws. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        const { telemetry, clock } = this.#parts;
        const arrivedAtMs = clock.monotonicMs();
        const span = telemetry.startSpan(req.method ?? "GET", SpanKind.SERVER, telemetry.extract(req.headers));
        this.#answers.add(res);
        if (this.#leaving) {
            res.shouldKeepAlive = false;
        }
        telemetry.onRequestStarted();
        let failure: Failure | undefined;
        let request: CallerRequest | undefined;
        res.once("close", () => {
            this.#ended(req, res, span, request, failure, arrivedAtMs);
        });
        const understood = this.#understand(req, arrivedAtMs);
        understood.caseOf({
            Left: refused => {
                failure = refused;
                this.#refuse(req, res, refused, span);
            },
            Right: resolved => {
                request = resolved;
                void this.#forward(resolved, req, res, span).then(failed => {
                    failure = failed;
                    if (failed !== undefined) {
                        this.#refuse(req, res, failed, span);
                    }
                });
            },
        });
    }

    #understand(req: IncomingMessage, arrivedAtMs: number): Either<Failure, CallerRequest> {
        const { clock, table, mayTakeNewWork } = this.#parts;
        const services = table();
        if (this.#stopping) {
            return Left(createFailure("stopping", "this host takes no new work"));
        }
        if (services === undefined || !mayTakeNewWork()) {
            return Left(createFailure("notFresh", "the configuration can't be shown to be current"));
        }
        const head = { method: req.method ?? "GET", url: req.url ?? "/", headers: req.headers };
        return resolveCallerRequest(head, services, { monotonicMs: arrivedAtMs, epochMs: clock.epochMs() });
    }

    async #forward(
        request: CallerRequest,
        req: IncomingMessage,
        res: ServerResponse,
        span: Span,
    ): Promise<Failure | undefined> {
        const abort = new AbortController();
        const remainingMs = request.deadlineMs - this.#parts.clock.monotonicMs();
        const timer = setTimeout(() => abort.abort(), Math.max(0, remainingMs));
        // A caller that is gone wants no answer: the backend server's slot is worth more to the others. A non-idempotent
        // request goes on: cut off, nobody would ever know whether it ran, and the caller's next try learns its end.
        // After a whole answer there is nothing to abort, and an abort is dear (it builds an exception with its stack).
        res.once("close", () => {
            if (request.idempotent && !res.writableFinished) {
                abort.abort();
            }
        });
        try {
            return await this.#parts.forwarder.forward({ request, req, res, span, signal: abort.signal });
        }
        catch (err) {
            this.#parts.logger.error("request failed unexpectedly", { error: String(err), traceId: traceIdOf(span) });
            return createFailure("internal", "unexpected failure");
        }
        finally {
            clearTimeout(timer);
        }
    }

    #refuse(req: IncomingMessage, res: ServerResponse, failure: Failure, span: Span): void {
        // An unread body would be taken for the next request's head, so the connection ends unless all was read.
        writeFailure(res, failure, traceIdOf(span), this.#leaving || !req.complete);
    }

    #ended(
        req: IncomingMessage,
        res: ServerResponse,
        span: Span,
        request: CallerRequest | undefined,
        failure: Failure | undefined,
        arrivedAtMs: number,
    ): void {
        const { telemetry, clock, logger } = this.#parts;
        const service = request?.route.service.name ?? "";
        const durationMs = clock.monotonicMs() - arrivedAtMs;
        const status = failure === undefined ? res.statusCode : resolveFailure(failure).status;
        telemetry.onRequestEnded({ method: req.method ?? "", service, status, errorKind: failure?.kind, durationMs });
        span.setAttribute("http.response.status_code", status);
        span.setAttribute("http.route", service);
        span.end();
        if (failure !== undefined) {
            const { didRun } = resolveFailure(failure);
            const traceId = traceIdOf(span);
            logger.info("request failed", {
                kind: failure.kind,
                detail: failure.detail,
                didRun,
                service,
                status,
                traceId,
            });
        }
        this.#answers.delete(res);
        if (this.#answers.size === 0) {
            this.#onIdle?.();
        }
    }
}
