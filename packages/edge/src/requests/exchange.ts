import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type RequestBody } from "@galenaglade/http-parts";
import { QuarantineGuard } from "../quarantine/quarantineGuard.js";
import {
    hedgeAfterShare,
    isServerError,
    isPossibleServerCrash,
    isRetryAllowed,
    type SendEnd,
} from "@galenaglade/placement";
import {
    type ResponseHead,
    type ResponseSink,
    type BufferedResponse,
    sendRequest,
    type SendResult,
} from "../backends/sendRequest.js";
import { maxBufferedResponseBytes } from "../constants.js";
import { type ServerConnection } from "../backends/serverConnection.js";
import { type ReachabilityState } from "@galenaglade/reachability";
import { type LogFields } from "@galenaglade/telemetry";
import { ExchangeHandover, hasReachedNoServer } from "../handover/exchangeHandover.js";
import { awaitFirst } from "./awaitFirst.js";
import { type EdgeRequest, resolveIdentity } from "./edgeRequest.js";
import { describeSendEnd, LocalReplies, type ExchangeResult } from "./localReplies.js";
import { callerGone, type ExchangeDeps } from "./exchangeDeps.js";
import { LazyContentId } from "./lazyContentId.js";
import { WorkspaceGuard } from "./workspaceGuard.js";
import { ExchangePlacement, type SendPurpose } from "./exchangePlacement.js";
import { type PlacementFailure, type Placement } from "./placer.js";
import { SendResultHandler } from "./sendResultHandler.js";
import { type FinishedSend, type GatewaySend, receiverName, type ServerSend, type PendingSend } from "./pendingSend.js";

/** Destination of the next send. */
type Target =
    | { readonly type: "server"; readonly place: Placement; }
    | { readonly type: "gateway"; readonly helper: RegisteredGateway; };

/**
 * Handles one request from admission to its final result: picks servers, sends, retries and hedges where that is
 * allowed, and gives up when the response is due.
 */
export class Exchange {
    readonly #parts: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #body: RequestBody;
    readonly #signal: AbortSignal;
    readonly #openSink: (head: ResponseHead) => ResponseSink;
    readonly #onSent: () => void;
    readonly #underWay = new Set<PendingSend>();
    /** Sends whose end has not been processed yet. A send may end while a server for another one is being picked. */
    readonly #unread = new Set<PendingSend>();
    readonly #ends: SendEnd[] = [];
    readonly #answers: LocalReplies;
    readonly #workspace: WorkspaceGuard;
    readonly #placement: ExchangePlacement;
    readonly #content: LazyContentId;
    readonly #guard: QuarantineGuard;
    readonly #outcomes: SendResultHandler;
    readonly #handover: ExchangeHandover;
    #fallback: BufferedResponse | undefined;
    #streaming = false;
    #answeredBy: string | undefined;
    /** Whether the caller has its response, so that the sends still in flight are superseded. */
    #answered = false;

    /**
     * @param parts - dependencies
     * @param request - the resolved request
     * @param body - body of the request
     * @param signal - aborted when the final response is due, or when the caller has disconnected
     * @param openSink - starts streaming a response to the caller that is too large to buffer
     * @param onSent - called with each send
     */
    constructor(
        parts: ExchangeDeps,
        request: EdgeRequest,
        body: RequestBody,
        signal: AbortSignal,
        openSink: (head: ResponseHead) => ResponseSink,
        onSent: () => void = () => undefined,
    ) {
        this.#parts = parts;
        this.#request = request;
        this.#answers = new LocalReplies(request, parts.board.typicalLatency, parts.random);
        this.#body = body;
        this.#signal = signal;
        this.#workspace = new WorkspaceGuard(parts, request, signal);
        this.#placement = new ExchangePlacement(parts, request, signal);
        this.#content = new LazyContentId(request, body);
        this.#guard = new QuarantineGuard(parts.crashReports, this.#content);
        this.#outcomes = new SendResultHandler(parts, request, this.#content, this.#guard);
        this.#handover = new ExchangeHandover({
            deps: parts,
            request,
            body,
            mayWrite: () => this.#mayWrite(),
            openSink: head => this.#beginStream(head, undefined),
        });
        this.#openSink = openSink;
        this.#onSent = onSent;
    }

    /** Id of the backend server whose response the caller gets; `undefined` if it came through another gateway. */
    get respondingServerId(): string | undefined {
        return this.#answeredBy;
    }

    /** @returns log fields about placement, handovers and sends */
    describe(): LogFields {
        return {
            ...this.#placement.describe(),
            ...this.#handover.describe(),
            handedOverBy: this.#request.handedOverBy,
            contentId: this.#content.computedContentId,
            sends: this.#ends.map(end => end.type === "answered" ? String(end.status) : describeSendEnd(end)).join(","),
        };
    }

    /** @returns the result for the caller; never rejects */
    async run(): Promise<ExchangeResult> {
        const { repeatBudget, board } = this.#parts;
        const { rules, priority, handedOverBy } = this.#request;
        if (handedOverBy === undefined) {
            repeatBudget.onRequest(rules.name, this.#nowMs());
        }
        if (!this.#guard.admit()) {
            return this.#finish(this.#answers.quarantined(this.#guard.retryAfterMs ?? 0));
        }
        try {
            // A request that was handed over has been admitted by the gateway that received it from the caller.
            const refused = handedOverBy === undefined ? await this.#workspace.admit() : undefined;
            if (refused !== undefined) {
                return this.#finish(
                    refused === "abandoned" ? this.#resolveAborted() : this.#answers.rateLimited(refused),
                );
            }
            // Counted only after admission: rejected requests need no capacity, so none is reserved for their priority.
            board.onRequest(rules.name, priority, this.#nowMs());
            const target = await this.#findTarget("first");
            if (typeof target === "string") {
                return this.#finish(
                    target === "abandoned"
                        ? this.#resolveAborted()
                        : this.#answers.placementFailed(target, this.#restingForMs()),
                );
            }
            if (this.#workspace.keyChange !== undefined) {
                return this.#finish(this.#answers.keyChanged(this.#workspace.keyChange));
            }
            this.#sendTo(target, "first");
            return this.#finish(await this.#follow());
        }
        finally {
            this.#workspace.onEnded(this.#ends, this.#underWay.size);
            this.#guard.close();
        }
    }

    /** Waits for the sends in flight, with retries and a hedge, until one has a response or all have failed. */
    async #follow(): Promise<ExchangeResult> {
        const hedge = this.#request.route.idempotent && this.#body.repeatable ? this.#hedgeTime() : undefined;
        let hedged = hedge === undefined;
        while (this.#unread.size > 0) {
            const next = await this.#awaitNext(hedged ? undefined : hedge);
            if (next === "aborted") {
                return this.#resolveAborted();
            }
            if (next === "late") {
                hedged = true;
                await this.#tryHedge();
                continue;
            }
            const end = await this.#onEnded(next);
            if (end !== undefined) {
                return end;
            }
        }
        return this.#resolveAborted();
    }

    /** @returns the result for the caller; `undefined` while another send may still succeed */
    async #onEnded(ended: FinishedSend): Promise<ExchangeResult | undefined> {
        const { underWay, result } = ended;
        this.#unread.delete(underWay);
        const { end, response } = result;
        if (result.streamed) {
            return { type: "streamed", complete: end.type === "answered" };
        }
        const mayGoOn = this.#mayTryAgain();
        if (response !== undefined && end.type === "answered") {
            this.#answeredBy = underWay.to === "server" ? underWay.place.server.id : undefined;
            if (!isServerError(end) && !response.endedByClose) {
                return { type: "answered", response: response };
            }
            // A server error, or a response that may be truncated, is kept as a fallback in case no other send does
            // better.
            this.#fallback = response;
        }
        if (mayGoOn && await this.#tryAgain(ended)) {
            return undefined;
        }
        return this.#unread.size > 0 ? undefined : this.#resolveFailed();
    }

    #resolveFailed(): ExchangeResult {
        const { retryAfterMs } = this.#guard;
        const restingForMs = this.#restingForMs();
        const hasNotRun = this.#fallback === undefined && this.#ends.every(({ type }) => type === "notRun");
        const { keyChange } = this.#workspace;
        if (hasNotRun && keyChange !== undefined) {
            return this.#answers.keyChanged(keyChange);
        }
        if (hasNotRun && retryAfterMs !== undefined) {
            return this.#answers.quarantined(retryAfterMs);
        }
        if (hasNotRun && restingForMs !== undefined) {
            return this.#answers.placementFailed("resting", restingForMs);
        }
        const { failure, wasTried } = this.#handover;
        if (this.#fallback === undefined && failure !== undefined) {
            return { type: "failed", failure };
        }
        return hasNotRun && wasTried
            ? this.#answers.placementFailed("unreached")
            : this.#answers.allSendsFailed(this.#ends, this.#fallback);
    }

    async #tryAgain(ended: FinishedSend): Promise<boolean> {
        const { underWay: failed, result } = ended;
        if (this.#signal.aborted || this.#workspace.isKeyChanged()) {
            return false;
        }
        const { repeatBudget, log } = this.#parts;
        if (result.end.type !== "notRun" && !this.#workspace.allowsExtraRuns) {
            return false;
        }
        if (!await this.#isAllowedAgain(result.end)) {
            return false;
        }
        // A send that never reached a server can be made again without taking from the retry budget.
        if (hasReachedServer(ended) && !this.#takeRepeat("retry")) {
            return false;
        }
        const target = await this.#findTarget("retry");
        log.log("info", "retry", {
            requestId: this.#request.requestId,
            after: describeSendEnd(result.end),
            from: receiverName(failed),
            to: nameTarget(target),
            budgetLeft: repeatBudget.remaining(this.#request.rules.name, this.#gateways(), this.#nowMs()),
        });
        if (typeof target === "string" || this.#workspace.isKeyChanged()) {
            return false;
        }
        this.#sendTo(target, "retry");
        return true;
    }

    /** @returns a server, or another gateway if this host can't reach any server of the service */
    async #findTarget(purpose: SendPurpose): Promise<Target | PlacementFailure> {
        const { reachability } = this.#parts;
        const service = this.#request.rules.name;
        if (this.#handover.isAllowed && await this.#whenSettled() !== "reached") {
            const helper = this.#chooseHelper();
            if (helper !== undefined) {
                return { type: "gateway", helper };
            }
            if (!reachability.tryAcquireLocalAttempt(service)) {
                return "unreached";
            }
        }
        const place = await this.#placement.place(purpose);
        if (typeof place !== "string") {
            return { type: "server", place };
        }
        // The probes of the search itself may have shown that no server can be reached.
        const mayHelp = (place === "noOffer" || place === "noneGood") && this.#handover.isAllowed;
        const helper = mayHelp && await this.#whenSettled() === "lost" ? this.#chooseHelper() : undefined;
        return helper === undefined ? place : { type: "gateway", helper };
    }

    /** @returns whether this host can reach the service, once that is settled or the request is aborted */
    async #whenSettled(): Promise<ReachabilityState> {
        const { reachability } = this.#parts;
        const service = this.#request.rules.name;
        await awaitFirst([reachability.whenSettled(service)], this.#signal, undefined);
        return reachability.stateOf(service);
    }

    /** @returns a gateway that is thought to reach the service; `undefined` if there is none or this host reaches it */
    #chooseHelper(): RegisteredGateway | undefined {
        const { reachability } = this.#parts;
        const service = this.#request.rules.name;
        if (reachability.stateOf(service) !== "lost") {
            return undefined;
        }
        const helper = this.#handover.chooseGateway();
        if (helper === undefined && this.#handover.isAllowed) {
            reachability.onHandoverTargetsExhausted(service);
        }
        return helper;
    }

    /** @returns whether the crashes recorded for this content allow another send */
    async #isAllowedAgain(end: SendEnd): Promise<boolean> {
        if (!isPossibleServerCrash(end)) {
            return this.#guard.maySend();
        }
        if (this.#guard.mustAwaitLivenessCheck) {
            await this.#outcomes.whenLivenessChecked();
        }
        return this.#guard.mayRetry();
    }

    /** Sends to a second server if one with spare capacity is found; the first response goes to the caller. */
    async #tryHedge(): Promise<void> {
        if (!this.#mayTryAgain() || !this.#guard.mayHedge()) {
            return;
        }
        const target = await this.#findTarget("hedge");
        if (typeof target === "string") {
            return;
        }
        const isNeeded = this.#workspace.allowsExtraRuns && !this.#signal.aborted
            && this.#underWay.size >= this.#unread.size;
        if (!isNeeded || this.#workspace.isKeyChanged() || !this.#guard.mayHedge()) {
            return;
        }
        if (!this.#takeRepeat("hedge")) {
            return;
        }
        this.#parts.log.log("info", "hedge", { requestId: this.#request.requestId, to: nameTarget(target) });
        this.#sendTo(target, "hedge");
    }

    #sendTo(target: Target, purpose: SendPurpose): void {
        if (target.type === "server") {
            this.#send(target.place, purpose);
            return;
        }
        this.#handTo(target.helper);
    }

    #handTo(helper: RegisteredGateway): void {
        const { timeline } = this.#parts;
        timeline.record("firstSend");
        const { handover, result } = this.#handover.start(helper, this.#runsLeft());
        const underWay: GatewaySend = {
            to: "gateway",
            send: handover,
            gateway: helper,
            ended: result.then(ended => {
                this.#underWay.delete(underWay);
                this.#ends.push(ended.end);
                return { type: "gateway" as const, underWay, result: ended };
            }),
        };
        this.#begin(underWay);
    }

    #begin(underWay: PendingSend): void {
        this.#underWay.add(underWay);
        this.#unread.add(underWay);
        this.#onSent();
    }

    #mayWrite(): boolean {
        return !this.#signal.aborted && this.#workspace.keyChange === undefined && this.#guard.maySend();
    }

    #send(place: Placement, purpose: SendPurpose): void {
        const { metadataCodec, connections, clock, view, board, rollouts, timeline } = this.#parts;
        const { method, url, headers, route, requestId, cutoffMs } = this.#request;
        const { server } = place;
        timeline.record("firstSend");
        this.#placement.onSend(server.id);
        rollouts.onSend(server);
        const connection = route.idempotent
            ? connections.acquire(server.id, server.address)
            : connections.acquireQuiet(server.id, server.address, clock.monotonicMs());
        const isNewConnection = !connection.hasResponded;
        const send = sendRequest({
            connection,
            isFirstRequest: connections.isFirstRequest(connection),
            method,
            path: url,
            headers: metadataCodec.createForwardHeaders(headers, {
                serverId: server.id,
                remainingMs: Math.max(1, Math.floor(cutoffMs - clock.monotonicMs())),
                identity: resolveIdentity(this.#request.admission),
            }),
            body: this.#body.open(),
            idempotent: route.idempotent,
            requestId,
            metadataReader: metadataCodec,
            maxBufferedBytes: maxBufferedResponseBytes,
            mayWrite: () =>
                this.#mayWrite() && view.isUsable(server.id, clock.monotonicMs())
                && board.exclusionOf(server, clock.monotonicMs()) === undefined,
            openSink: head => this.#beginStream(head, server.id),
        });
        const underWay: ServerSend = {
            to: "server",
            send,
            place,
            purpose,
            isNewConnection,
            ledgerVersion: this.#guard.ledgerVersion(),
            ended: send.result.then(result => {
                this.#onSendEnded(underWay, connection, result);
                return { type: "server" as const, underWay, result };
            }),
        };
        this.#begin(underWay);
    }

    #onSendEnded(underWay: ServerSend, connection: ServerConnection, result: SendResult): void {
        const { connections, clock } = this.#parts;
        const { place, purpose, isNewConnection, ledgerVersion } = underWay;
        this.#underWay.delete(underWay);
        this.#ends.push(result.end);
        if (result.end.type === "unknown") {
            // A late response on it would be taken for the response to the next request.
            connection.destroy();
        }
        else {
            connections.release(place.server.id, connection, { after: "request", nowMs: clock.monotonicMs() });
        }
        this.#outcomes.onSendEnded({
            place,
            purpose,
            isNewConnection,
            ledgerVersion,
            result,
            superseded: this.#answered,
        });
    }

    #beginStream(head: ResponseHead, serverId: string | undefined): ResponseSink | undefined {
        if (this.#streaming || this.#signal.aborted) {
            return undefined;
        }
        this.#answeredBy = serverId;
        this.#streaming = true;
        return this.#openSink(head);
    }

    /** Waits until a send ends, the hedge is due, or the request is aborted. */
    #awaitNext(hedgeAtMs: number | undefined): Promise<FinishedSend | "late" | "aborted"> {
        const lateAfterMs = hedgeAtMs === undefined ? undefined : Math.max(0, hedgeAtMs - this.#nowMs());
        return awaitFirst([...this.#unread].map(({ ended }) => ended), this.#signal, lateAfterMs);
    }

    #hedgeTime(): number {
        return this.#request.arrivedAtMs + this.#request.route.objectiveMs * hedgeAfterShare;
    }

    #mayTryAgain(): boolean {
        return isRetryAllowed({
            idempotent: this.#request.route.idempotent,
            isBodyReplayable: this.#body.repeatable,
            maximumRuns: this.#request.route.maximumRuns - this.#handover.extraRuns,
            ends: this.#ends,
            inFlight: this.#underWay.size,
        });
    }

    /** Number of servers on which the request may still run. */
    #runsLeft(): number {
        const possibleRuns = this.#underWay.size + this.#ends.filter(({ type }) => type !== "notRun").length;
        return this.#request.route.maximumRuns - this.#handover.extraRuns - possibleRuns;
    }

    #takeRepeat(purpose: "retry" | "hedge"): boolean {
        return this.#parts.repeatBudget.take(this.#request.rules.name, purpose, this.#gateways(), this.#nowMs());
    }

    /** Time until the first server's back-off ends, in milliseconds; `undefined` unless all servers back off. */
    #restingForMs(): number | undefined {
        return this.#parts.placer.backoffRemainingMs(this.#request.rules.name);
    }

    #gateways(): number {
        return this.#parts.view.gatewayNames(this.#nowMs()).length;
    }

    #nowMs(): number {
        return this.#parts.clock.monotonicMs();
    }

    /**
     * Abandons the sends that are still in flight, since their responses are no longer needed. A non-idempotent request
     * whose caller disconnected is left to finish: if it were cut off, it would stay unknown whether it ran.
     */
    #finish(end: ExchangeResult): ExchangeResult {
        if (!this.#request.route.idempotent && this.#signal.reason === callerGone) {
            return end;
        }
        this.#answered = end.type === "answered";
        for (const { send } of this.#underWay) {
            send.abandon();
        }
        return end;
    }

    /** The response is due, or the caller has disconnected. */
    #resolveAborted(): ExchangeResult {
        return this.#answers.timedOut(this.#ends, this.#underWay.size, this.#fallback);
    }
}

/** @returns whether a send may have reached a server */
function hasReachedServer(ended: FinishedSend): boolean {
    if (ended.type === "gateway") {
        return !hasReachedNoServer(ended.result);
    }
    const { end } = ended.result;
    return !(end.type === "notRun" && (end.reason === "connectFailed" || end.reason === "notSent"));
}

function nameTarget(target: Target | PlacementFailure): string {
    if (typeof target === "string") {
        return target;
    }
    return target.type === "server" ? target.place.server.id : target.helper.name;
}
