import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type RequestBody } from "@galenaglade/http-parts";
import { QuarantineGuard } from "../quarantine/quarantineGuard.js";
import {
    hedgeAfterShare,
    isServerError,
    isPossibleServerCrash,
    isRetryAllowed,
    type RepeatPurpose,
    type SendEnd,
} from "@galenaglade/placement";
import {
    type ResponseHead,
    type ResponseSink,
    type BufferedResponse,
    sendRequest,
    type SendResult,
} from "../backends/sendRequest.js";
import { maxBufferedResponseBytes, maxReusedBodyBytes } from "../constants.js";
import { type ServerConnection } from "../backends/serverConnection.js";
import { type LogFields } from "@galenaglade/telemetry";
import { ExchangeHandover } from "../handover/exchangeHandover.js";
import { awaitFirst } from "./awaitFirst.js";
import { type EdgeRequest, resolveIdentity } from "./edgeRequest.js";
import { describeSendEnd } from "./describeSendEnd.js";
import { LocalReplies, type ExchangeResult } from "./localReplies.js";
import { callerGone, type ExchangeDeps } from "./exchangeDeps.js";
import { LazyContentId } from "./lazyContentId.js";
import { WorkspaceGuard } from "./workspaceGuard.js";
import { ExchangePlacement, type SendPurpose } from "./exchangePlacement.js";
import { type Placement } from "./placer.js";
import { SendConnections } from "./sendConnections.js";
import { type SendRecord } from "./sendRecord.js";
import { SendResultHandler } from "./sendResultHandler.js";
import { describeTarget, type SendTarget, SendTargetFinder } from "./sendTargetFinder.js";
import {
    type FinishedSend,
    type GatewaySend,
    hasReachedServer,
    receiverName,
    type ServerSend,
    type PendingSend,
} from "./pendingSend.js";

/** What a request is waiting for. */
export type ExchangeStage = "admission" | "placement" | "connecting" | "atServer" | "handedOver" | "responding";

/**
 * Handles one request from admission to its final result: picks servers, sends, retries and hedges where that is
 * allowed, and gives up when the response is due.
 */
export class Exchange {
    readonly #deps: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #body: RequestBody;
    readonly #signal: AbortSignal;
    readonly #openSink: (head: ResponseHead) => ResponseSink | undefined;
    readonly #onSent: () => void;
    readonly #sends: SendRecord;
    readonly #inFlight = new Set<PendingSend>();
    /** Sends whose end has not been processed yet. A send may end while a server for another one is being picked. */
    readonly #unprocessed = new Set<PendingSend>();
    readonly #localReplies: LocalReplies;
    readonly #workspaceGuard: WorkspaceGuard;
    readonly #placement: ExchangePlacement;
    readonly #contentId: LazyContentId;
    readonly #quarantineGuard: QuarantineGuard;
    readonly #sendResultHandler: SendResultHandler;
    readonly #handover: ExchangeHandover;
    readonly #targets: SendTargetFinder;
    readonly #sendConnections: SendConnections;
    #fallback: BufferedResponse | undefined;
    #streaming = false;
    #respondingServerId: string | undefined;
    /** Whether the rate limit has admitted the request. */
    #isAdmitted = false;
    /** Repeats that the retry budget refused. */
    #repeatsRefused = 0;
    /** Whether the caller has its response, so that the sends still in flight are superseded. */
    #isAnswered = false;

    /**
     * @param deps - dependencies
     * @param request - the resolved request
     * @param body - body of the request
     * @param sends - record of its sends
     * @param signal - aborted when the final response is due, or when the caller has disconnected
     * @param openSink - starts streaming a response to the caller that is too large to buffer; returns `undefined` if the
     * caller can't get it
     * @param onSent - called with each send
     * @param whenInputRead - resolves once what had arrived on the caller's connection was read
     */
    constructor(
        deps: ExchangeDeps,
        request: EdgeRequest,
        body: RequestBody,
        sends: SendRecord,
        signal: AbortSignal,
        openSink: (head: ResponseHead) => ResponseSink | undefined,
        onSent: () => void = () => undefined,
        whenInputRead: () => Promise<void> = () => Promise.resolve(),
    ) {
        this.#deps = deps;
        this.#request = request;
        this.#localReplies = new LocalReplies(request, deps.placementState.typicalLatency, deps.random);
        this.#body = body;
        this.#sends = sends;
        this.#sendConnections = new SendConnections(deps.connections, request.route.idempotent);
        this.#signal = signal;
        this.#workspaceGuard = new WorkspaceGuard(deps, request, signal, whenInputRead);
        this.#placement = new ExchangePlacement(deps, request, signal, whenInputRead);
        this.#contentId = new LazyContentId(request, body);
        this.#quarantineGuard = new QuarantineGuard(deps.crashReports, this.#contentId);
        this.#sendResultHandler = new SendResultHandler(deps, request, this.#contentId, this.#quarantineGuard);
        this.#handover = new ExchangeHandover({
            deps,
            request,
            body,
            mayWrite: () => this.#mayWrite(),
            onWritten: () => this.#onWritten(),
            openSink: head => this.#startStream(head, undefined),
        });
        this.#targets = new SendTargetFinder({
            deps,
            request,
            signal,
            whenInputRead,
            placement: this.#placement,
            handover: this.#handover,
        });
        this.#openSink = openSink;
        this.#onSent = onSent;
    }

    /** Id of the backend server whose response the caller gets; `undefined` if it came through another gateway. */
    get respondingServerId(): string | undefined {
        return this.#respondingServerId;
    }

    /** What the request is waiting for. */
    get stage(): ExchangeStage {
        if (this.#streaming) {
            return "responding";
        }
        let stage: ExchangeStage | undefined;
        for (const { to, send } of this.#inFlight) {
            if (to === "gateway") {
                return "handedOver";
            }
            if (send.isWritten()) {
                return "atServer";
            }
            stage = "connecting";
        }
        return stage ?? (this.#isAdmitted ? "placement" : "admission");
    }

    /** @returns log fields about placement, handovers and sends */
    describe(): LogFields {
        return {
            ...this.#placement.describe(),
            ...this.#handover.describe(),
            handedOverBy: this.#request.handedOverBy,
            contentId: this.#contentId.computedContentId,
            repeatsRefused: this.#repeatsRefused === 0 ? undefined : this.#repeatsRefused,
            sends: this.#sends.ends.map(end => end.type === "answered" ? String(end.status) : describeSendEnd(end))
                .join(
                    ",",
                ),
        };
    }

    /**
     * Handles the request. Ends once the signal is aborted, whatever it is waiting for by then.
     *
     * @returns the result for the caller; never rejects
     */
    async run(): Promise<ExchangeResult> {
        const handled = this.#handle()
            .catch((err: unknown) => this.#resolveUnexpected(err))
            .finally(() => this.#closeGuards());
        const result = await awaitFirst([handled], this.#signal, undefined);
        this.#closeGuards();
        return this.#finish(typeof result === "string" ? this.#resolveAborted() : result);
    }

    #closeGuards(): void {
        this.#workspaceGuard.onEnded(this.#sends.ends, this.#inFlight.size);
        this.#quarantineGuard.close();
    }

    async #handle(): Promise<ExchangeResult> {
        const { repeats, placementState } = this.#deps;
        const { rules, priority, handedOverBy } = this.#request;
        if (handedOverBy === undefined) {
            repeats.onRequest(rules.name);
        }
        if (!this.#quarantineGuard.admit()) {
            return this.#localReplies.quarantined(this.#quarantineGuard.retryAfterMs ?? 0);
        }
        // A request that was handed over has been admitted by the gateway that received it from the caller.
        const rejection = handedOverBy === undefined ? await this.#workspaceGuard.admit() : undefined;
        if (rejection !== undefined) {
            return rejection === "abandoned" ? this.#resolveAborted() : this.#localReplies.rateLimited(rejection);
        }
        this.#isAdmitted = true;
        // Counted only after admission: rejected requests need no capacity, so none is reserved for their priority.
        placementState.onRequest(rules.name, priority, this.#nowMs());
        const target = await this.#targets.find("first");
        if (typeof target === "string") {
            return target === "abandoned"
                ? this.#resolveAborted()
                : this.#localReplies.placementFailed(target, this.#backoffRemainingMs());
        }
        if (this.#workspaceGuard.keyChange !== undefined) {
            return this.#localReplies.keyChanged(this.#workspaceGuard.keyChange);
        }
        this.#sendTo(target, "first");
        return await this.#awaitResult();
    }

    /** A fault of this program. The caller may come back if no server can have got the request. */
    #resolveUnexpected(err: unknown): ExchangeResult {
        const { requestId } = this.#request;
        this.#deps.log.log("error", "unexpected", { during: "exchange", requestId, error: String(err) });
        return this.#streaming ? { type: "streamed", complete: false } : this.#localReplies.unexpected(this.#sends);
    }

    /** Waits for the sends in flight, with retries and a hedge, until one has a response or all have failed. */
    async #awaitResult(): Promise<ExchangeResult> {
        const hedgeAtMs = this.#request.route.idempotent && this.#body.isReplayable ? this.#hedgeAtMs() : undefined;
        let hedged = hedgeAtMs === undefined;
        while (this.#unprocessed.size > 0) {
            const next = await this.#awaitNext(hedged ? undefined : hedgeAtMs);
            if (next === "aborted") {
                return this.#resolveAborted();
            }
            if (next === "late") {
                hedged = true;
                await this.#tryHedge();
                continue;
            }
            const result = await this.#processEnd(next);
            if (result !== undefined) {
                return result;
            }
        }
        return this.#resolveAborted();
    }

    /** @returns the result for the caller; `undefined` while another send may still succeed */
    async #processEnd(ended: FinishedSend): Promise<ExchangeResult | undefined> {
        const { underWay, result } = ended;
        this.#unprocessed.delete(underWay);
        const { end, response, body } = result;
        if (result.streamed) {
            return { type: "streamed", complete: end.type === "answered", body };
        }
        if (this.#streaming) {
            // The caller already has the beginning of another send's response.
            return undefined;
        }
        const mayRetry = this.#isRetryAllowed();
        if (response !== undefined && end.type === "answered") {
            this.#respondingServerId = underWay.to === "server" ? underWay.placement.server.id : undefined;
            if (!isServerError(end) && response.framing.type !== "untilClose") {
                return { type: "answered", response };
            }
            // A server error, or a response that may be truncated, is kept as a fallback in case no other send does
            // better.
            if (this.#fallback === undefined || !isServerError(end)) {
                this.#fallback = response;
            }
        }
        if (mayRetry && await this.#tryRetry(ended)) {
            return undefined;
        }
        return this.#unprocessed.size > 0 ? undefined : this.#resolveFailed();
    }

    #resolveFailed(): ExchangeResult {
        return this.#localReplies.unserved(this.#sends, this.#fallback, {
            keyChange: this.#workspaceGuard.keyChange,
            isStopping: !this.#deps.maySend(this.#request),
            quarantinedForMs: this.#quarantineGuard.retryAfterMs,
            backoffRemainingMs: this.#backoffRemainingMs(),
            handoverFailure: this.#handover.failure,
            wasHandedOver: this.#handover.wasTried,
        });
    }

    async #tryRetry(ended: FinishedSend): Promise<boolean> {
        const { underWay: failed, result } = ended;
        if (this.#signal.aborted || this.#workspaceGuard.isKeyChanged()) {
            return false;
        }
        const { repeats, log } = this.#deps;
        const service = this.#request.rules.name;
        if (result.end.type !== "notRun" && !this.#workspaceGuard.allowsExtraRuns) {
            return false;
        }
        if (!await this.#isAllowedByQuarantine(result.end)) {
            return false;
        }
        // A send that never reached a server can be made again without taking from the retry budget.
        const isRepeat = hasReachedServer(ended);
        if (isRepeat && !this.#isRepeatAvailable("retry")) {
            return false;
        }
        const target = await this.#targets.find("retry");
        log.log("info", "retry", {
            requestId: this.#request.requestId,
            service,
            after: describeSendEnd(result.end),
            from: receiverName(failed),
            to: describeTarget(target),
            ...repeats.describe(service),
        });
        if (typeof target === "string" || this.#streaming || this.#workspaceGuard.isKeyChanged()) {
            return false;
        }
        if (!isRepeat) {
            repeats.onFirstArrivalRetried(service);
        }
        else if (!this.#takeFromRepeatBudget("retry")) {
            return false;
        }
        this.#sendTo(target, "retry");
        return true;
    }

    /** @returns whether the crashes recorded for this content allow another send */
    async #isAllowedByQuarantine(end: SendEnd): Promise<boolean> {
        if (!isPossibleServerCrash(end)) {
            return this.#quarantineGuard.maySend();
        }
        if (this.#quarantineGuard.mustAwaitLivenessCheck) {
            await this.#sendResultHandler.whenLivenessChecked();
        }
        return this.#quarantineGuard.mayRetry();
    }

    /** Sends to a second server if one with spare capacity is found; the first response goes to the caller. */
    async #tryHedge(): Promise<void> {
        if (!this.#isRetryAllowed() || !this.#quarantineGuard.mayHedge() || !this.#isRepeatAvailable("hedge")) {
            return;
        }
        const target = await this.#targets.find("hedge");
        if (typeof target === "string") {
            return;
        }
        const isNeeded = this.#workspaceGuard.allowsExtraRuns && !this.#signal.aborted && !this.#streaming
            && this.#inFlight.size >= this.#unprocessed.size;
        if (!isNeeded || this.#workspaceGuard.isKeyChanged() || !this.#quarantineGuard.mayHedge()) {
            return;
        }
        if (!this.#takeFromRepeatBudget("hedge")) {
            return;
        }
        const { log, repeats } = this.#deps;
        log.log("info", "hedge", {
            requestId: this.#request.requestId,
            service: this.#request.rules.name,
            to: describeTarget(target),
            ...repeats.describe(this.#request.rules.name),
        });
        this.#sendTo(target, "hedge");
    }

    #sendTo(target: SendTarget, purpose: SendPurpose): void {
        if (target.type === "server") {
            this.#sendToServer(target.place, purpose);
            return;
        }
        this.#sendToGateway(target.gateway);
    }

    #sendToGateway(gateway: RegisteredGateway): void {
        const { timeline } = this.#deps;
        timeline.record("firstSend");
        const { handover, result } = this.#handover.start(gateway, this.#runsLeft());
        const underWay: GatewaySend = {
            to: "gateway",
            send: handover,
            gateway,
            ended: result.then(ended => {
                const finished = { type: "gateway" as const, underWay, result: ended };
                this.#onFinished(finished);
                return finished;
            }),
        };
        this.#track(underWay);
    }

    #track(underWay: PendingSend): void {
        this.#inFlight.add(underWay);
        this.#sends.onStarted(underWay.send);
        this.#unprocessed.add(underWay);
        this.#onSent();
    }

    #onFinished(ended: FinishedSend): void {
        const { underWay, result } = ended;
        this.#inFlight.delete(underWay);
        this.#sends.onEnded(
            underWay.send,
            result.end,
            hasReachedServer(ended) ? "reachedServer" : "reachedNoServer",
        );
    }

    #mayWrite(): boolean {
        return !this.#signal.aborted && !this.#sends.isSealed && this.#workspaceGuard.keyChange === undefined
            && this.#quarantineGuard.maySend() && this.#deps.maySend(this.#request);
    }

    /** Counts a send that was written after the caller had left; `#mayWrite` prevents it. */
    #onWritten(): void {
        if (this.#signal.reason === callerGone) {
            const { log, metrics } = this.#deps;
            metrics.onSendAfterDisconnect(this.#request.rules.name);
            log.log("error", "sentAfterDisconnect", { requestId: this.#request.requestId });
        }
    }

    #sendToServer(place: Placement, purpose: SendPurpose): void {
        const { metadataCodec, connections, clock, view, placementState, rollouts, timeline } = this.#deps;
        const { method, url, headers, route, requestId, cutoffMs } = this.#request;
        const { server } = place;
        timeline.record("firstSend");
        this.#placement.onSend(server.id);
        rollouts.onSend(server);
        const connection = this.#sendConnections.acquire(server, clock.monotonicMs());
        const isNewConnection = !connection.hasResponded;
        const send = sendRequest({
            connection,
            isFirstRequest: connections.isFirstRequest(connection),
            method,
            path: url,
            headers: metadataCodec.createForwardHeaders(headers, {
                serverId: server.id,
                remainingMs: Math.max(1, Math.floor(cutoffMs - clock.monotonicMs())),
                identity: resolveIdentity(this.#request.callerIdentity),
            }),
            body: this.#body.open(),
            idempotent: route.idempotent,
            requestId,
            metadataReader: metadataCodec,
            maxBufferedBytes: maxBufferedResponseBytes,
            onWritten: () => this.#onWritten(),
            mayLeaveUnread: this.#body.byteLength > maxReusedBodyBytes,
            mayWrite: () =>
                this.#mayWrite() && view.isUsable(server.id, clock.monotonicMs())
                && placementState.exclusionOf(server, clock.monotonicMs()) === undefined,
            openSink: head => this.#startStream(head, server.id),
        });
        const underWay: ServerSend = {
            to: "server",
            send,
            placement: place,
            purpose,
            isNewConnection,
            ledgerVersion: this.#quarantineGuard.ledgerVersion(),
            ended: send.result.then(result => {
                const finished = { type: "server" as const, underWay, result };
                this.#onFinished(finished);
                this.#onSendEnded(underWay, connection, result);
                return finished;
            }),
        };
        this.#track(underWay);
    }

    #onSendEnded(underWay: ServerSend, connection: ServerConnection, result: SendResult): void {
        const { connections, clock } = this.#deps;
        const { placement, purpose, isNewConnection, ledgerVersion } = underWay;
        if (result.end.type === "unknown" || this.#body.byteLength > maxReusedBodyBytes) {
            // A late response on it would be taken for the response to the next request.
            connection.destroy();
        }
        else {
            connections.release(placement.server.id, connection, { after: "request", nowMs: clock.monotonicMs() });
        }
        this.#sendResultHandler.onSendEnded({
            placement: placement,
            purpose,
            isNewConnection,
            ledgerVersion,
            result,
            superseded: this.#isAnswered,
        });
    }

    #startStream(head: ResponseHead, serverId: string | undefined): ResponseSink | undefined {
        if (this.#streaming || this.#signal.aborted) {
            return undefined;
        }
        this.#respondingServerId = serverId;
        const sink = this.#openSink(head);
        this.#streaming = sink !== undefined;
        return sink;
    }

    /** Waits until a send ends, the hedge is due, or the request is aborted. */
    #awaitNext(hedgeAtMs: number | undefined): Promise<FinishedSend | "late" | "aborted"> {
        const lateAfterMs = hedgeAtMs === undefined ? undefined : Math.max(0, hedgeAtMs - this.#nowMs());
        return awaitFirst([...this.#unprocessed].map(({ ended }) => ended), this.#signal, lateAfterMs);
    }

    #hedgeAtMs(): number {
        return this.#request.arrivedAtMs + this.#request.route.objectiveMs * hedgeAfterShare;
    }

    #isRetryAllowed(): boolean {
        return !this.#streaming && isRetryAllowed({
            idempotent: this.#request.route.idempotent,
            isBodyReplayable: this.#body.isReplayable,
            maximumRuns: this.#request.route.maximumRuns - this.#handover.extraRuns,
            ends: this.#sends.ends,
            inFlight: this.#inFlight.size,
        });
    }

    /** Number of servers on which the request may still run. */
    #runsLeft(): number {
        const possibleRuns = this.#inFlight.size + this.#sends.ends.filter(({ type }) => type !== "notRun").length;
        return this.#request.route.maximumRuns - this.#handover.extraRuns - possibleRuns;
    }

    /** @returns whether the budget has a repeat; it is taken once the destination is known */
    #isRepeatAvailable(purpose: RepeatPurpose): boolean {
        return this.#countRefused(this.#deps.repeats.isAvailable(this.#request.rules.name, purpose));
    }

    #takeFromRepeatBudget(purpose: RepeatPurpose): boolean {
        return this.#countRefused(this.#deps.repeats.take(this.#request.rules.name, purpose));
    }

    #countRefused(isAllowed: boolean): boolean {
        this.#repeatsRefused += isAllowed ? 0 : 1;
        return isAllowed;
    }

    /** Time until the first server's back-off ends, in milliseconds; `undefined` unless all servers back off. */
    #backoffRemainingMs(): number | undefined {
        return this.#deps.placer.backoffRemainingMs(this.#request.rules.name);
    }

    #nowMs(): number {
        return this.#deps.clock.monotonicMs();
    }

    /**
     * Abandons the sends that are still in flight, since their responses are no longer needed. A non-idempotent request
     * whose caller disconnected is left to finish: if it were cut off, it would stay unknown whether it ran.
     */
    #finish(result: ExchangeResult): ExchangeResult {
        if (!this.#request.route.idempotent && this.#signal.reason === callerGone) {
            return result;
        }
        this.#isAnswered = result.type === "answered";
        for (const { send } of this.#inFlight) {
            send.abandon();
        }
        return result;
    }

    /** The response is due, or the caller has disconnected. */
    #resolveAborted(): ExchangeResult {
        if (this.#streaming) {
            return { type: "streamed", complete: false };
        }
        return this.#localReplies.timedOut(this.#sends, this.#fallback);
    }
}
