import { createFailure, type Failure } from "@galenaglade/errors";
import { type FleetView } from "@galenaglade/fleet-state";
import { type Clock, type RequestBody } from "@galenaglade/http-parts";
import {
    hedgeAfterShare,
    isFailureOfServer,
    isServerFailure,
    mayTryAgain,
    type RepeatBudget,
    resolveComeBack,
    type SendEnd,
} from "@galenaglade/placement";
import { type RandomSource } from "@galenaglade/routing";
import { type ServerConnections } from "../backends/serverConnections.js";
import {
    type AnswerHead,
    type AnswerSink,
    type HeldAnswer,
    type Send,
    sendRequest,
    type SendResult,
} from "../backends/sendRequest.js";
import { heldAnswerBytes } from "../constants.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type LogFields } from "@galenaglade/telemetry";
import { type EdgeVocabulary } from "../vocabulary.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { type NoPlace, type Place, type Placer, type SearchTrace } from "./placer.js";

/** Why an exchange's signal is aborted: the caller has closed its connection. */
export const callerGone = "callerGone";

/** Why an exchange's signal is aborted: the final answer is due. */
export const cutoffReached = "cutoffReached";

/** What exchanges work with. */
export interface ExchangeParts {
    readonly view: FleetView;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placer: Placer;
    readonly connections: ServerConnections;
    readonly budget: RepeatBudget;
    readonly vocabulary: EdgeVocabulary;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** What the caller gets. */
export type ExchangeEnd =
    | { readonly type: "answered"; readonly answer: HeldAnswer; }
    /** The sink got it, whole or broken off. */
    | { readonly type: "streamed"; readonly whole: boolean; }
    | { readonly type: "failed"; readonly failure: Failure; };

/** Why a server is looked for once more. */
type Purpose = "first" | "retry" | "hedge";

interface SendUnderWay {
    readonly send: Send;
    readonly place: Place;
    readonly purpose: Purpose;
    readonly ended: Promise<EndedSend>;
}

interface EndedSend {
    readonly underWay: SendUnderWay;
    readonly result: SendResult;
}

/** Takes one request to its one end: finds servers, sends, repeats where that is allowed, and gives up in time. */
export class Exchange {
    readonly #parts: ExchangeParts;
    readonly #request: EdgeRequest;
    readonly #body: RequestBody;
    readonly #signal: AbortSignal;
    readonly #openSink: (head: AnswerHead) => AnswerSink;
    readonly #underWay = new Set<SendUnderWay>();
    /** Sends whose end was not looked at yet: one may end while a place for another is looked for. */
    readonly #unread = new Set<SendUnderWay>();
    readonly #ends: SendEnd[] = [];
    readonly #triedServers = new Set<string>();
    #fallback: HeldAnswer | undefined;
    #streaming = false;
    readonly #trace: SearchTrace = { usable: 0, asked: 0, offers: 0 };
    #placedAfterMs: number | undefined;
    #firstReason: string | undefined;

    /**
     * @param parts - what it works with
     * @param request - the request
     * @param body - its body
     * @param signal - aborted when the final answer is due, or when nobody waits for it any more
     * @param openSink - begins the caller's answer with a head, for an answer that is too large to be held
     */
    constructor(
        parts: ExchangeParts,
        request: EdgeRequest,
        body: RequestBody,
        signal: AbortSignal,
        openSink: (head: AnswerHead) => AnswerSink,
    ) {
        this.#parts = parts;
        this.#request = request;
        this.#body = body;
        this.#signal = signal;
        this.#openSink = openSink;
    }

    /** What happened on the way, for the log. */
    describe(): LogFields {
        return {
            ...this.#trace,
            placed: this.#firstReason,
            sends: this.#ends.map(end => end.type === "answered" ? String(end.status) : describeEnd(end)).join(","),
            servers: [...this.#triedServers].join(","),
            placedAfterMs: this.#placedAfterMs,
        };
    }

    /** @returns what the caller gets; never fails */
    async run(): Promise<ExchangeEnd> {
        const { budget, clock } = this.#parts;
        budget.onRequest(this.#request.rules.name, clock.monotonicMs());
        const place = await this.#place("first");
        if (typeof place === "string") {
            return this.#finish(this.#resolveNoPlace(place));
        }
        this.#send(place, "first");
        return this.#finish(await this.#follow());
    }

    /** Follows the sends under way until one of them, or none, has the caller's answer. */
    async #follow(): Promise<ExchangeEnd> {
        const hedge = this.#request.route.idempotent && this.#body.repeatable ? this.#hedgeTime() : undefined;
        let hedged = hedge === undefined;
        while (this.#unread.size > 0) {
            const next = await this.#awaitNext(hedged ? undefined : hedge);
            if (next === "aborted") {
                return this.#resolveAborted();
            }
            if (next === "hedge") {
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

    /** @returns what the caller gets, or `undefined` where another send may still bring it */
    async #onEnded({ underWay, result }: EndedSend): Promise<ExchangeEnd | undefined> {
        this.#unread.delete(underWay);
        const { end, answer } = result;
        if (result.streamed) {
            return { type: "streamed", whole: end.type === "answered" };
        }
        const mayGoOn = this.#mayTryAgain();
        if (answer !== undefined && end.type === "answered") {
            if (!isServerFailure(end) && !answer.endedByClose) {
                return { type: "answered", answer };
            }
            // The server's own failure is an answer, and so is one that may be cut short; kept for the case that no other
            // server does better.
            this.#fallback = answer;
        }
        if (mayGoOn && await this.#tryAgain(underWay, result)) {
            return undefined;
        }
        return this.#unread.size > 0 ? undefined : this.#resolveFailed();
    }

    async #tryAgain(failed: SendUnderWay, result: SendResult): Promise<boolean> {
        if (this.#signal.aborted) {
            return false;
        }
        const { budget, log } = this.#parts;
        const reachedServer = !(result.end.type === "notRun"
            && (result.end.reason === "connectFailed" || result.end.reason === "notSent"));
        // A send that never reached a server is no repeat when it is made again.
        if (reachedServer && !this.#takeRepeat("retry")) {
            return false;
        }
        const place = await this.#place("retry");
        log.log("info", "retry", {
            requestId: this.#request.requestId,
            after: describeEnd(result.end),
            from: failed.place.server.id,
            to: typeof place === "string" ? place : place.server.id,
            budgetLeft: budget.left(this.#request.rules.name, this.#gateways(), this.#nowMs()),
        });
        if (typeof place === "string") {
            return false;
        }
        this.#send(place, "retry");
        return true;
    }

    /** Sends to a second server where one is good right now; the first answer goes to the caller. */
    async #tryHedge(): Promise<void> {
        if (!this.#mayTryAgain()) {
            return;
        }
        const place = await this.#place("hedge");
        if (typeof place === "string") {
            return;
        }
        if (this.#signal.aborted || this.#underWay.size < this.#unread.size || !this.#takeRepeat("hedge")) {
            this.#parts.placer.release(place);
            return;
        }
        this.#parts.log.log("info", "hedge", { requestId: this.#request.requestId, to: place.server.id });
        this.#send(place, "hedge");
    }

    async #place(purpose: Purpose): Promise<Place | NoPlace> {
        const { placer, metrics, clock } = this.#parts;
        const { rules, route, arrivedAtMs, cutoffMs } = this.#request;
        const found = await placer.place({
            rules,
            objectiveMs: route.objectiveMs,
            arrivedAtMs,
            cutoffMs,
            excluded: this.#triedServers,
            signal: this.#signal,
            onlyGood: purpose === "hedge",
            trace: this.#trace,
        });
        if (purpose === "first") {
            this.#firstReason = typeof found === "string" ? found : found.reason;
            this.#placedAfterMs = Math.round(clock.monotonicMs() - arrivedAtMs);
            metrics.onPlaced(rules.name, this.#placedAfterMs);
        }
        return found;
    }

    #send(place: Place, purpose: Purpose): void {
        const { vocabulary, connections, clock, view } = this.#parts;
        const { method, url, headers, route, requestId, cutoffMs } = this.#request;
        const { server } = place;
        this.#triedServers.add(server.id);
        // A kept connection may be closed by its server just as a request is written to it, and then nobody can say
        // whether that ran. A connection that was opened for the request can't be.
        const fresh = !route.idempotent;
        if (fresh) {
            this.#parts.placer.release(place);
        }
        const connection = fresh ? connections.open(server.address) : place.connection;
        const send = sendRequest({
            connection,
            fresh,
            method,
            path: url,
            headers: vocabulary.resolveForwardHeaders(headers, {
                serverId: server.id,
                remainingMs: Math.max(1, Math.floor(cutoffMs - clock.monotonicMs())),
            }),
            body: this.#body.open(),
            idempotent: route.idempotent,
            requestId,
            vocabulary,
            heldBytes: heldAnswerBytes,
            mayWrite: () => !this.#signal.aborted && view.isUsable(server.id, clock.monotonicMs()),
            openSink: head => this.#beginStream(head),
        });
        const underWay: SendUnderWay = {
            send,
            place,
            purpose,
            ended: send.result.then(result => {
                this.#onSendEnded(underWay, connection, fresh, result);
                return { underWay, result };
            }),
        };
        this.#underWay.add(underWay);
        this.#unread.add(underWay);
    }

    #onSendEnded(
        underWay: SendUnderWay,
        connection: Place["connection"],
        fresh: boolean,
        result: SendResult,
    ): void {
        const { connections, placer, clock, metrics } = this.#parts;
        const { server, score } = underWay.place;
        const service = this.#request.rules.name;
        this.#underWay.delete(underWay);
        this.#ends.push(result.end);
        if (fresh) {
            connection.destroy();
        }
        else {
            connections.release(server.id, connection);
        }
        metrics.onSendEnded(service, underWay.purpose, describeEnd(result.end));
        if (isFailureOfServer(result.end)) {
            placer.trust.onFailure(server.id, clock.monotonicMs());
        }
        else if (result.end.type === "answered") {
            placer.trust.onSuccess(server.id);
            placer.work.onAnswer(service, result.tookMs, score.factor);
        }
    }

    #beginStream(head: AnswerHead): AnswerSink | undefined {
        if (this.#streaming || this.#signal.aborted) {
            return undefined;
        }
        this.#streaming = true;
        return this.#openSink(head);
    }

    /** Waits for the next send to end, the time to hedge, or the end of all patience. */
    async #awaitNext(hedgeAtMs: number | undefined): Promise<EndedSend | "hedge" | "aborted"> {
        const signal = this.#signal;
        if (signal.aborted) {
            return "aborted";
        }
        let timer: NodeJS.Timeout | undefined;
        let onAbort: (() => void) | undefined;
        const waits: Promise<EndedSend | "hedge" | "aborted">[] = [...this.#unread].map(({ ended }) => ended);
        waits.push(
            new Promise(resolve => {
                onAbort = () => resolve("aborted");
                signal.addEventListener("abort", onAbort, { once: true });
            }),
        );
        if (hedgeAtMs !== undefined) {
            waits.push(
                new Promise(resolve => {
                    timer = setTimeout(() => resolve("hedge"), Math.max(0, hedgeAtMs - this.#nowMs()));
                }),
            );
        }
        const next = await Promise.race(waits);
        clearTimeout(timer);
        if (onAbort !== undefined) {
            signal.removeEventListener("abort", onAbort);
        }
        return next;
    }

    #hedgeTime(): number {
        return this.#request.arrivedAtMs + this.#request.route.objectiveMs * hedgeAfterShare;
    }

    #mayTryAgain(): boolean {
        return mayTryAgain({
            idempotent: this.#request.route.idempotent,
            repeatable: this.#body.repeatable,
            maximumRuns: this.#request.route.maximumRuns,
            ends: this.#ends,
            underWay: this.#underWay.size,
        });
    }

    #takeRepeat(purpose: "retry" | "hedge"): boolean {
        return this.#parts.budget.take(this.#request.rules.name, purpose, this.#gateways(), this.#nowMs());
    }

    #gateways(): number {
        return this.#parts.view.gateways(this.#nowMs()).length;
    }

    #nowMs(): number {
        return this.#parts.clock.monotonicMs();
    }

    /**
     * Ends whatever is still under way: its answer would be nobody's. A non-idempotent request whose caller left goes on:
     * cut off, nobody would ever know whether it ran.
     */
    #finish(end: ExchangeEnd): ExchangeEnd {
        if (!this.#request.route.idempotent && this.#signal.reason === callerGone) {
            return end;
        }
        for (const { send } of this.#underWay) {
            send.abandon();
        }
        return end;
    }

    #resolveNoPlace(reason: NoPlace): ExchangeEnd {
        if (reason === "abandoned") {
            return this.#resolveAborted();
        }
        const cause = reason === "noServer" || reason === "noOffer" ? "noServer" : "full";
        const kind = cause === "noServer" ? "noBackendServer" : "overloaded";
        return this.#refuse(kind, reason, cause);
    }

    /** All tries have failed. */
    #resolveFailed(): ExchangeEnd {
        if (this.#fallback !== undefined) {
            return { type: "answered", answer: this.#fallback };
        }
        if (this.#ends.every(end => end.type === "notRun")) {
            return this.#refuse("backendShed", describeEnds(this.#ends), "turnedAway");
        }
        return { type: "failed", failure: createFailure("connectionLost", describeEnds(this.#ends)) };
    }

    /** The time is over, or nobody waits any more. */
    #resolveAborted(): ExchangeEnd {
        const mayHaveRun = this.#ends.some(end => end.type !== "notRun") || this.#underWay.size > 0;
        if (this.#fallback !== undefined) {
            return { type: "answered", answer: this.#fallback };
        }
        if (!mayHaveRun) {
            return this.#refuse("overloaded", "no server could be found in time", "full");
        }
        return { type: "failed", failure: createFailure("backendTimeout", describeEnds(this.#ends)) };
    }

    #refuse(
        kind: "noBackendServer" | "overloaded" | "backendShed",
        detail: string,
        cause: Parameters<typeof resolveComeBack>[0],
    ): ExchangeEnd {
        const { placer, random } = this.#parts;
        const { rules, route } = this.#request;
        const retryAfterSeconds = resolveComeBack(cause, placer.work.of(rules.name, route.objectiveMs), random);
        return { type: "failed", failure: createFailure(kind, detail, { retryAfterSeconds }) };
    }
}

function describeEnd(end: SendEnd): string {
    switch (end.type) {
        case "answered":
            return `answered ${end.status}`;
        case "abandoned":
            return "abandoned";
        default:
            return end.reason;
    }
}

function describeEnds(ends: readonly SendEnd[]): string {
    return ends.length === 0 ? "no answer" : ends.map(describeEnd).join(", ");
}
