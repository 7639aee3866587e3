import { createFailure, type Failure, resolveFailure } from "@galenaglade/errors";
import { type Logger } from "@galenaglade/telemetry";
import { type Span, SpanKind } from "@opentelemetry/api";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type Either, Left } from "purify-ts";
import { type Clock, onDisconnect, writeFailure } from "@galenaglade/http-parts";
import { type CallerRequest, parseCallerRequest } from "../requests/callerRequest.js";
import { type Forwarder, traceIdOf } from "../requests/forwarder.js";
import { type ServiceTable } from "../requests/serviceTable.js";
import { type RequestTelemetry } from "../telemetry/requestTelemetry.js";

/** Dependencies of {@link CallerHandler}. */
export interface CallerHandlerDeps {
    readonly clock: Clock;
    readonly forwarder: Forwarder;
    readonly telemetry: RequestTelemetry;
    readonly logger: Logger;
    readonly table: () => ServiceTable | undefined;
    readonly mayTakeNewWork: () => boolean;
}

/** Handles callers' requests, each from its arrival to its single final response. */
export class CallerHandler {
    readonly #deps: CallerHandlerDeps;
    readonly #responses = new Set<ServerResponse>();
    /** Response to the latest request of each connection. */
    readonly #latest = new WeakMap<Socket, ServerResponse>();
    #draining = false;
    #stopping = false;
    #onIdle: (() => void) | undefined;

    constructor(deps: CallerHandlerDeps) {
        this.#deps = deps;
    }

    /**
     * Closes callers' connections with the response to the latest request on each: an earlier one would cut off the
     * responses behind it. A connection kept alive would be closed at the end of the planned stop, possibly while its
     * caller sends a request on it and then can't know whether that request ran.
     */
    beginDrain(): void {
        this.#draining = true;
        for (const res of this.#responses) {
            res.shouldKeepAlive = this.#latest.get(res.req.socket) !== res;
        }
    }

    /** Refuses new requests. @returns once the last request in flight is answered */
    stop(): Promise<void> {
        this.#stopping = true;
        if (this.#responses.size === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.#onIdle = resolve;
        });
    }

    /** Handles one request; never throws. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        const { telemetry, clock } = this.#deps;
        const arrivedAtMs = clock.monotonicMs();
        if (!this.#follow(req, res)) {
            return;
        }
        const span = telemetry.startSpan(req.method ?? "GET", SpanKind.SERVER, telemetry.extract(req.headers));
        this.#responses.add(res);
        telemetry.onRequestStarted();
        let failure: Failure | undefined;
        let request: CallerRequest | undefined;
        res.once("close", () => {
            this.#onRequestEnded(req, res, span, request, failure, arrivedAtMs);
        });
        const parsed = this.#parseRequest(req, arrivedAtMs);
        parsed.caseOf({
            Left: refusal => {
                failure = refusal;
                this.#refuse(req, res, refusal, span);
            },
            Right: parsedRequest => {
                request = parsedRequest;
                void this.#forward(parsedRequest, req, res, span).then(forwardFailure => {
                    failure = forwardFailure;
                    if (forwardFailure !== undefined) {
                        this.#refuse(req, res, forwardFailure, span);
                    }
                });
            },
        });
    }

    /** @returns whether to handle the request: not if an earlier response closes its connection */
    #follow(req: IncomingMessage, res: ServerResponse): boolean {
        const previous = this.#latest.get(req.socket);
        if (previous?.headersSent === true && !previous.shouldKeepAlive) {
            req.resume();
            return false;
        }
        if (this.#draining) {
            if (previous !== undefined && !previous.headersSent) {
                previous.shouldKeepAlive = true;
            }
            res.shouldKeepAlive = false;
        }
        this.#latest.set(req.socket, res);
        return true;
    }

    #parseRequest(req: IncomingMessage, arrivedAtMs: number): Either<Failure, CallerRequest> {
        const { clock, table, mayTakeNewWork } = this.#deps;
        const services = table();
        if (this.#stopping) {
            return Left(createFailure("stopping", "this host takes no new work"));
        }
        if (services === undefined || !mayTakeNewWork()) {
            return Left(createFailure("notFresh", "the configuration can't be shown to be current"));
        }
        const head = { method: req.method ?? "GET", url: req.url ?? "/", headers: req.headers };
        return parseCallerRequest(head, services, { monotonicMs: arrivedAtMs, epochMs: clock.epochMs() });
    }

    async #forward(
        request: CallerRequest,
        req: IncomingMessage,
        res: ServerResponse,
        span: Span,
    ): Promise<Failure | undefined> {
        const abort = new AbortController();
        const remainingMs = request.deadlineMs - this.#deps.clock.monotonicMs();
        const timer = setTimeout(() => abort.abort(), Math.max(0, remainingMs));
        // When the caller disconnects, an idempotent request is aborted to free the backend server's slot. A
        // non-idempotent request continues: if it were aborted, it would stay unknown whether it ran, whereas now a
        // retry by the caller learns its outcome. After a complete response there is nothing to abort, and
        // aborting is expensive because it creates an exception with a stack trace.
        const unwatch = onDisconnect(req, () => {
            if (request.idempotent && !res.writableFinished) {
                abort.abort();
            }
        });
        try {
            return await this.#deps.forwarder.forward({ request, req, res, span, signal: abort.signal });
        }
        catch (err) {
            this.#deps.logger.error("request failed unexpectedly", { error: String(err), traceId: traceIdOf(span) });
            return createFailure("internal", "unexpected failure");
        }
        finally {
            clearTimeout(timer);
            unwatch();
        }
    }

    #refuse(req: IncomingMessage, res: ServerResponse, failure: Failure, span: Span): void {
        // The rest of an unread body would be parsed as the next request, so the connection is closed in that case.
        const closes = this.#draining && this.#latest.get(req.socket) === res;
        writeFailure(res, failure, traceIdOf(span), closes || !req.complete);
    }

    #onRequestEnded(
        req: IncomingMessage,
        res: ServerResponse,
        span: Span,
        request: CallerRequest | undefined,
        failure: Failure | undefined,
        arrivedAtMs: number,
    ): void {
        const { telemetry, clock, logger } = this.#deps;
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
        this.#responses.delete(res);
        if (this.#responses.size === 0) {
            this.#onIdle?.();
        }
    }
}
