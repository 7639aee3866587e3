import { createFailure, type Failure, resolveFailure } from "@galenaglade/errors";
import {
    hasDisconnected,
    holdResponse,
    onDisconnect,
    readRequestBody,
    type RequestBody,
    whenInputRead,
    writeFailure,
} from "@galenaglade/http-parts";
import { drawRetryAfterSeconds, type StartupRequest } from "@galenaglade/placement";
import {
    handoverHeader,
    type HandoverMetadata,
    type HandoverOutcome,
    renderHandoverHeader,
} from "../handover/handoverMessages.js";
import { HandoverHandler, refuseHandover } from "../handover/handoverServer.js";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { maxBufferedBodyBytes } from "../constants.js";
import { type EdgeRequest, resolveEdgeRequest } from "../requests/edgeRequest.js";
import { Exchange } from "../requests/exchange.js";
import { type SendRecord } from "../requests/sendRecord.js";
import { createStoppingFailure, type ExchangeResult } from "../requests/localReplies.js";
import { callerGone, cutoffReached, type ExchangeDeps, stopDeadlineReached } from "../requests/exchangeDeps.js";
import { type BufferedResponse, type ResponseHead } from "../backends/sendRequest.js";
import { CallerSink, endsWithConnection, writeResponse, writeWhenDue } from "./responseWriter.js";
import { type InitialSyncGate } from "../state/initialSyncGate.js";
import { isStateFresh } from "../state/isStateFresh.js";
import { type CallerConnections } from "./callerConnections.js";
import { DisconnectReporter } from "./disconnectReporter.js";
import { OutcomeReporter } from "./outcomeReporter.js";
import { PendingRequest } from "./pendingRequest.js";
import { type RequestDeadline } from "./requestDeadline.js";
import { type StopPlan } from "../stopping/stopPlan.js";
import { type StartupGate } from "./startupGate.js";

/** Dependencies of an {@link EdgeHandler}. */
export interface EdgeHandlerDeps extends ExchangeDeps {
    readonly callerConnections: CallerConnections;
    readonly initialSyncGate: InitialSyncGate;
    readonly startupGate: StartupGate;
    /** Schedule of the planned stop; `undefined` before one. */
    readonly stopPlan: () => StopPlan | undefined;
}

/** Handles requests of callers and handed-over requests, from arrival to the final response. */
export class EdgeHandler extends HandoverHandler {
    readonly #deps: EdgeHandlerDeps;
    /** Metadata of handed-over requests. */
    readonly #handovers = new WeakMap<ServerResponse, HandoverMetadata>();
    /** Requests that are being handled. */
    readonly #pending = new Map<ServerResponse, PendingRequest>();
    readonly #sends = new WeakMap<ServerResponse, SendRecord>();
    readonly #disconnectReporter: DisconnectReporter;
    readonly #outcomeReporter: OutcomeReporter;

    constructor(deps: EdgeHandlerDeps) {
        super();
        this.#deps = deps;
        this.#disconnectReporter = new DisconnectReporter(deps);
        this.#outcomeReporter = new OutcomeReporter(deps);
    }

    /** Limits the requests that are being handled to the schedule of a planned stop. */
    beginStop(plan: StopPlan): void {
        for (const [res, { deadline }] of this.#pending) {
            limitToStop(deadline, res, plan);
        }
    }

    /** @returns whether a request that is being handled has certainly not run */
    hasNotRun(res: ServerResponse): boolean {
        return this.#sends.get(res)?.hasNotRun ?? true;
    }

    /** Handles one request of a caller; never throws. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        const { callerConnections, timeline } = this.#deps;
        if (callerConnections.onRequest(req, res)) {
            timeline.record("firstCaller");
            this.#begin(req, res);
        }
    }

    override handleHandover(req: IncomingMessage, res: ServerResponse, handover: HandoverMetadata): void {
        if (this.#deps.callerConnections.onRequest(req, res)) {
            this.#handovers.set(res, handover);
            this.#begin(req, res);
        }
    }

    /** Handles a request until it has its response or its caller has left. */
    #begin(req: IncomingMessage, res: ServerResponse): void {
        const { clock, metadataCodec } = this.#deps;
        const pending = new PendingRequest(metadataCodec.readRequest(req.rawHeaders).requestId, clock);
        this.#pending.set(res, pending);
        this.#sends.set(res, pending.sends);
        // Nobody reads the response after a disconnect; aborting frees the backend server's slot for other requests.
        const unwatch = onDisconnect(req, cause => {
            if (!res.writableEnded) {
                this.#disconnectReporter.onCallerLeft(req.socket, cause, pending);
                pending.deadline.abort(callerGone);
            }
        });
        void this.#handleSafely(req, res, pending).finally(() => {
            unwatch();
            pending.deadline.clear();
            this.#pending.delete(res);
        });
    }

    async #handleSafely(req: IncomingMessage, res: ServerResponse, pending: PendingRequest): Promise<void> {
        const arrivedAtMs = this.#deps.clock.monotonicMs();
        try {
            if (this.#deps.view.configurationInForce === undefined && !this.#handovers.has(res)) {
                await this.#holdUntilSynced(req, pending);
            }
            if (!hasDisconnected(req)) {
                await this.#accept(req, res, arrivedAtMs, pending);
            }
        }
        catch (err) {
            this.#failUnexpectedly(err, req, res, pending.sends);
        }
    }

    /** Holds a request until the first read of the store has finished. Its deadline isn't extended. */
    async #holdUntilSynced(req: IncomingMessage, pending: PendingRequest): Promise<void> {
        const { log, initialSyncGate, metadataCodec } = this.#deps;
        const { requestId, patienceMs } = metadataCodec.readRequest(req.rawHeaders);
        const decision = initialSyncGate.admit(patienceMs);
        if (decision.type === "hold") {
            pending.onStage("held");
            log.log("info", "heldAtStart", { requestId, patienceMs, forAtMostMs: Math.round(decision.forMs) });
            await initialSyncGate.wait(decision.forMs, pending.deadline.signal);
        }
    }

    async #accept(
        req: IncomingMessage,
        res: ServerResponse,
        arrivedAtMs: number,
        pending: PendingRequest,
    ): Promise<void> {
        const handover = this.#handovers.get(res);
        const resolved = this.#resolve(req, handover, arrivedAtMs);
        if (resolved.isLeft()) {
            const failure = resolved.extract();
            if (handover !== undefined) {
                // The other gateway's configuration allows the request, so a third gateway's may allow it too.
                refuseHandover(req, res, "noRoute", []);
                return;
            }
            this.#fail(req, res, failure, pending.sends);
            this.#outcomeReporter.onFailed(req, undefined, failure, arrivedAtMs, undefined);
            return;
        }
        await this.#serve(resolved.unsafeCoerce(), pending, req, res);
    }

    #failUnexpectedly(err: unknown, req: IncomingMessage, res: ServerResponse, sends: SendRecord): void {
        const { log, metadataCodec } = this.#deps;
        const { requestId } = metadataCodec.readRequest(req.rawHeaders);
        log.log("error", "unexpected", { during: "request", requestId, error: String(err) });
        this.#fail(req, res, createFailure("internal", "unexpected failure"), sends);
    }

    #resolve(
        req: IncomingMessage,
        handover: HandoverMetadata | undefined,
        nowMs: number,
    ): Either<Failure, EdgeRequest> {
        const { view, metadataCodec, random } = this.#deps;
        const { configurationInForce } = view;
        if (configurationInForce === undefined) {
            const retryAfterSeconds = drawRetryAfterSeconds("unread", 0, random);
            return Left(createFailure("notFresh", "the configuration has not been read yet", { retryAfterSeconds }));
        }
        const head = {
            method: req.method ?? "GET",
            url: handover?.target ?? req.url ?? "/",
            authority: req.headers.host ?? "",
            headers: req.rawHeaders,
            callerAddress: handover?.caller ?? req.socket.remoteAddress ?? "",
            handover,
            bodyBytes: resolveBodyBytes(req),
        };
        return resolveEdgeRequest(head, configurationInForce, metadataCodec, random, nowMs).mapLeft(failure =>
            this.#replaceIfStale(failure, nowMs)
        );
    }

    /**
     * Replaces the failure for an unknown route or key with a retryable one while this gateway's state may be stale:
     * the route or key may have been added meanwhile.
     */
    #replaceIfStale(failure: Failure, nowMs: number): Failure {
        const { view, random } = this.#deps;
        const isLookupFailure = failure.kind === "noSuchService" || failure.kind === "unauthenticated";
        if (!isLookupFailure || isStateFresh(view, nowMs)) {
            return failure;
        }
        const retryAfterSeconds = drawRetryAfterSeconds("noServer", 0, random);
        return createFailure("notFresh", `${failure.detail}, as far as is known`, { retryAfterSeconds });
    }

    async #serve(
        request: EdgeRequest,
        pending: PendingRequest,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<void> {
        const { deadline, sends } = pending;
        deadline.limit(request.cutoffMs, cutoffReached);
        const plan = this.#deps.stopPlan();
        if (plan !== undefined) {
            limitToStop(deadline, res, plan);
        }
        pending.onStage("body");
        pending.sendsGoOn = !request.route.idempotent;
        const limits = {
            contentLength: request.bodyBytes,
            maxBytes: request.maximumBodyBytes,
            maxBufferedBytes: maxBufferedBodyBytes,
        };
        const read = await readRequestBody(limits, req, deadline.signal);
        const body = read.chain(received => this.#admit(received));
        try {
            if (body.isLeft()) {
                const failure = this.#fail(req, res, body.extract(), sends);
                this.#outcomeReporter.onFailed(req, request, failure, request.arrivedAtMs, undefined);
                return;
            }
            await this.#exchange(request, body.unsafeCoerce(), pending, req, res);
        }
        finally {
            // A non-idempotent request goes on after its caller has left, so its body may still be on its way.
            void sends.whenIdle().then(() => read.ifRight(received => received.close()));
        }
    }

    /** @returns the body of a request that has now been read; a failure if it is too late in a planned stop for it */
    #admit(body: RequestBody): Either<Failure, RequestBody> {
        const { clock, random, stopPlan } = this.#deps;
        return stopPlan()?.isAdmitted(clock.monotonicMs()) === false
            ? Left(createStoppingFailure(random))
            : Right(body);
    }

    async #exchange(
        request: EdgeRequest,
        body: RequestBody,
        pending: PendingRequest,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<void> {
        const { callerConnections, timeline, startupGate } = this.#deps;
        const { deadline: { signal }, sends } = pending;
        pending.onStage("permit");
        const permit = startupGate.isActive
            ? await startupGate.acquire(this.#createStartupRequest(request, req), signal)
            : undefined;
        let sink: CallerSink | undefined;
        const exchange = new Exchange(
            this.#deps,
            request,
            body,
            sends,
            signal,
            head => {
                if (endsWithConnection(head, req) && !callerConnections.closeIfLast(req)) {
                    // It would cut off the responses behind it.
                    return undefined;
                }
                this.#setAnsweredOutcome(res, request, exchange.respondingServerId, head);
                sink = new CallerSink(res, head, callerConnections.closeIfDue(req));
                return sink;
            },
            () => permit?.onSent(),
            () => whenInputRead(req.socket),
        );
        pending.exchange = exchange;
        let result = this.#replaceResultIfStale(await exchange.run().finally(() => permit?.onEnded()));
        switch (result.type) {
            case "answered":
                this.#respond(request, result.response, exchange.respondingServerId, sends, req, res);
                break;
            case "streamed":
                sink?.end(result.complete);
                break;
            case "failed":
                result = { type: "failed", failure: this.#fail(req, res, result.failure, sends) };
        }
        if (result.type !== "failed") {
            timeline.record("firstAnswer");
        }
        this.#outcomeReporter.onEnded(request, req, result, exchange, signal);
    }

    #createStartupRequest({ arrivedAtMs, route, rules }: EdgeRequest, req: IncomingMessage): StartupRequest {
        return {
            arrivedAtMs,
            objectiveMs: route.objectiveMs,
            patienceMs: this.#deps.metadataCodec.readRequest(req.rawHeaders).patienceMs,
            route: route.name,
            typicalLatencyMs: this.#deps.placementState.typicalLatency.of(rules.name, route.objectiveMs),
        };
    }

    #replaceResultIfStale(result: ExchangeResult): ExchangeResult {
        return result.type === "failed"
            ? { type: "failed", failure: this.#replaceIfStale(result.failure, this.#deps.clock.monotonicMs()) }
            : result;
    }

    #respond(
        request: EdgeRequest,
        response: BufferedResponse,
        serverId: string | undefined,
        sends: SendRecord,
        req: IncomingMessage,
        res: ServerResponse,
    ): void {
        const { callerConnections } = this.#deps;
        if (res.destroyed || hasDisconnected(req)) {
            return;
        }
        this.#setAnsweredOutcome(res, request, serverId, response);
        const close = callerConnections.closeIfDue(req);
        const release = holdResponse(req.socket, response.body.length);
        writeWhenDue(
            res,
            () => {
                release();
                writeResponse(res, response, close);
            },
            err => this.#failUnexpectedly(err, req, res, sends),
        );
    }

    #setAnsweredOutcome(
        res: ServerResponse,
        { version }: EdgeRequest,
        server: string | undefined,
        { framing }: ResponseHead,
    ): void {
        const handover = this.#handovers.get(res);
        if (handover !== undefined) {
            setHandoverOutcome(res, {
                type: "answered",
                version,
                ...(server === undefined ? {} : { server }),
                untilClose: handover.framesBodies && framing.type === "untilClose",
            });
        }
    }

    /** @returns the failure that the caller gets: `cause`, unless the sends contradict it */
    #fail(req: IncomingMessage, res: ServerResponse, cause: Failure, sends: SendRecord): Failure {
        const failure = sends.confirm(cause);
        if (failure !== cause) {
            const { requestId } = this.#deps.metadataCodec.readRequest(req.rawHeaders);
            this.#deps.log.log("error", "refusalReplaced", { requestId, kind: cause.kind, sends: sends.describe() });
        }
        if (res.destroyed || hasDisconnected(req)) {
            return failure;
        }
        const handover = this.#handovers.get(res);
        if (handover !== undefined && !res.headersSent) {
            const { kind, detail, didRun, retryAfterSeconds } = resolveFailure(failure);
            setHandoverOutcome(res, {
                type: "failed",
                kind,
                detail,
                notRun: didRun === "no",
                ...(retryAfterSeconds === undefined ? {} : { retryAfterSeconds }),
                unreached: this.#deps.reachability.stateOf(handover.service) !== "reached",
                reachedServer: sends.hasReachedServer,
            });
        }
        writeFailure(res, failure, undefined, this.#deps.callerConnections.closeIfDue(req));
        return failure;
    }
}

/** Gives a request its final response before a planned stop ends, unless its response has begun. */
function limitToStop(deadline: RequestDeadline, res: ServerResponse, { answerByMs }: StopPlan): void {
    deadline.limit(answerByMs, stopDeadlineReached, () => !res.headersSent);
}

/** Sets the handover header on a response to another gateway. */
function setHandoverOutcome(res: ServerResponse, outcome: HandoverOutcome): void {
    res.setHeader(handoverHeader, renderHandoverHeader(outcome));
}

function resolveBodyBytes(req: IncomingMessage): number | undefined {
    if (req.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(req.headers["content-length"] ?? 0);
}
