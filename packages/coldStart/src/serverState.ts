import { type ServerId } from "@galenaglade/routing";
import { type AnswerSigns, type AttemptEnd } from "./answerSigns.js";
import { cancellationMarginMs, reportLagMs, silenceMs, slowFactor } from "./constants.js";

/** What the configuration says of one server's cold start. */
export interface ServerLimits {
    /** Requests in flight that the server bears while cold. */
    readonly concurrency: number;
    /** Requests that it runs at the same time while warm. */
    readonly slots: number;
    readonly answersToWarm: number;
    readonly idleMs: number;
    /** Longest patience of its service's callers, in milliseconds. */
    readonly longestPatienceMs: number;
}

/** A request in flight. */
export interface SentRequest {
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    readonly epoch: number;
    readonly wasWarm: boolean;
    /** The stretch of authority that it was sent under, where the server was not warm. */
    readonly stretch: string | undefined;
}

/** What one gateway believes of one backend server. */
export class ServerState {
    readonly serverId: ServerId;
    limits: ServerLimits;
    readonly #requests = new Map<string, SentRequest>();
    /** Times by which requests that ended without a known end have certainly ended. */
    #lingering: number[] = [];
    #epoch = 0;
    #isWarm = false;
    #incarnation: string | undefined;
    #evidenceAtMs = Number.NEGATIVE_INFINITY;
    #heardAtMs = Number.NEGATIVE_INFINITY;
    #usualLatencyMs: number | undefined;
    #goodAnswers = 0;
    #limit: number;

    constructor(serverId: ServerId, limits: ServerLimits) {
        this.serverId = serverId;
        this.limits = limits;
        this.#limit = limits.concurrency;
    }

    get epoch(): number {
        return this.#epoch;
    }

    get incarnation(): string | undefined {
        return this.#incarnation;
    }

    /** Sending time of the newest request that the server answered as a warm one. */
    get evidenceAtMs(): number {
        return this.#evidenceAtMs;
    }

    get isWarm(): boolean {
        return this.#isWarm;
    }

    /** Requests in flight from this gateway, those included whose end is not known. */
    inFlight(nowMs: number): number {
        this.#lingering = this.#lingering.filter(untilMs => nowMs < untilMs);
        return this.#requests.size + this.#lingering.length;
    }

    /** Whether any gateway may send to the server without a permit. */
    isFree(nowMs: number): boolean {
        return this.#isWarm && nowMs < this.#evidenceAtMs + this.limits.idleMs;
    }

    /** Requests in flight, over all gateways, that the holder of the permit may let it have. */
    get warmUpLimit(): number {
        // An idle server that was warm gets one trial request; it may have turned cold without a word.
        return this.#isWarm ? 1 : this.#limit;
    }

    /** @returns what was noted of a request in flight */
    request(requestId: string): SentRequest | undefined {
        return this.#requests.get(requestId);
    }

    onSent(requestId: string, deadlineMs: number, stretch: string | undefined, nowMs: number): void {
        this.#requests.set(requestId, {
            sentAtMs: nowMs,
            deadlineMs,
            epoch: this.#epoch,
            wasWarm: this.isFree(nowMs),
            stretch,
        });
    }

    /** @returns whether the server has been found to have turned cold */
    onEnd(requestId: string, end: AttemptEnd, nowMs: number): boolean {
        const sent = this.#requests.get(requestId);
        if (sent === undefined) {
            return false;
        }
        this.#requests.delete(requestId);
        if (end.mayStillRun) {
            this.#lingering.push(sent.deadlineMs + cancellationMarginMs);
        }
        const latencyMs = nowMs - sent.sentAtMs;
        const isCold = this.#isSignOfCold(end, latencyMs, nowMs);
        this.#noteHeard(end, latencyMs, nowMs);
        if (this.#isWarm) {
            return this.#onEndWhileWarm(sent, end, isCold);
        }
        if (sent.epoch === this.#epoch && !sent.wasWarm) {
            this.#onEndWhileCold(sent, end);
        }
        return false;
    }

    /** @returns whether a word from outside a request shows that the server has turned cold */
    onReport(signs: AnswerSigns, nowMs: number): boolean {
        // The endpoints lag: one that still says "cold" after the server's own answers say "warm" would take a warm
        // server out again and again. Answers are the newer word while they come.
        const isContradicted = nowMs < this.#evidenceAtMs + reportLagMs;
        const isCold = this.#isNewIncarnation(signs) || (signs.state === "cold" && !isContradicted);
        if (!this.#isWarm || !isCold) {
            return false;
        }
        this.turnCold(signs.incarnation);
        return true;
    }

    turnCold(incarnation: string | undefined): void {
        this.#becomeCold(this.#epoch + 1, incarnation);
    }

    /**
     * Takes over what a peer or the store knows. Later epochs go before earlier ones and, within one, warm before
     * cold, so that the outcome is the same in whatever order signals arrive.
     *
     * @returns whether anything changed
     */
    learn(epoch: number, isWarm: boolean, incarnation: string | undefined, evidenceAtMs: number): boolean {
        if (epoch > this.#epoch) {
            this.#becomeCold(epoch, incarnation);
            if (isWarm) {
                this.#becomeWarm(evidenceAtMs);
            }
            return true;
        }
        if (epoch === this.#epoch && isWarm) {
            const isNew = !this.#isWarm;
            this.#becomeWarm(evidenceAtMs);
            return isNew;
        }
        return false;
    }

    /** Forgets that the server was seen to be warm, as after a time out of touch with the peers. */
    forgetEvidence(): void {
        this.#evidenceAtMs = Number.NEGATIVE_INFINITY;
    }

    #becomeCold(epoch: number, incarnation: string | undefined): void {
        this.#epoch = epoch;
        this.#isWarm = false;
        this.#incarnation = incarnation ?? this.#incarnation;
        this.#evidenceAtMs = Number.NEGATIVE_INFINITY;
        this.#restartRamp();
    }

    #becomeWarm(evidenceAtMs: number): void {
        this.#isWarm = true;
        this.#evidenceAtMs = Math.max(this.#evidenceAtMs, evidenceAtMs);
    }

    #restartRamp(): void {
        this.#goodAnswers = 0;
        this.#limit = this.limits.concurrency;
    }

    #onEndWhileWarm(sent: SentRequest, end: AttemptEnd, isCold: boolean): boolean {
        // An answer to a request of an earlier epoch says nothing that the permit holder of that epoch didn't learn.
        if (sent.epoch !== this.#epoch) {
            return false;
        }
        if (isCold) {
            this.turnCold(end.signs.incarnation);
            return true;
        }
        if (end.outcome === "good") {
            this.#incarnation = end.signs.incarnation ?? this.#incarnation;
            this.#evidenceAtMs = Math.max(this.#evidenceAtMs, sent.sentAtMs);
        }
        return false;
    }

    #onEndWhileCold(sent: SentRequest, end: AttemptEnd): void {
        const { signs } = end;
        if (end.outcome === "shed" || end.outcome === "refused" || end.outcome === "failed") {
            this.#restartRamp();
            return;
        }
        if (end.outcome !== "good" || signs.state === "leaving") {
            return;
        }
        if (this.#isNewIncarnation(signs)) {
            this.#restartRamp();
        }
        this.#incarnation = signs.incarnation ?? this.#incarnation;
        this.#goodAnswers++;
        if (signs.state === "warm" || (signs.state === undefined && this.#goodAnswers >= this.limits.answersToWarm)) {
            this.#becomeWarm(sent.sentAtMs);
            return;
        }
        this.#growLimit(signs.bears);
    }

    /** The limit grows by one with each good answer, only up to what the server itself says that it bears. */
    #growLimit(bears: number | undefined): void {
        if (bears !== undefined) {
            this.#limit = Math.max(1, Math.min(this.#limit + 1, bears, this.limits.slots));
        }
    }

    #isSignOfCold(end: AttemptEnd, latencyMs: number, nowMs: number): boolean {
        const { signs } = end;
        if (signs.state === "cold" || this.#isNewIncarnation(signs)) {
            return true;
        }
        if (end.outcome === "refused") {
            return true;
        }
        if (end.outcome === "shed") {
            // A server that says it is warm sheds for its load, not for its state.
            return signs.state === undefined;
        }
        return end.outcome === "good" && signs.state === undefined && this.#isSlowAfterSilence(latencyMs, nowMs);
    }

    #isSlowAfterSilence(latencyMs: number, nowMs: number): boolean {
        return this.#usualLatencyMs !== undefined
            && nowMs - latencyMs >= this.#heardAtMs + silenceMs
            && latencyMs > this.#usualLatencyMs * slowFactor;
    }

    #isNewIncarnation(signs: AnswerSigns): boolean {
        return signs.incarnation !== undefined
            && this.#incarnation !== undefined
            && signs.incarnation !== this.#incarnation;
    }

    #noteHeard(end: AttemptEnd, latencyMs: number, nowMs: number): void {
        if (end.outcome !== "good") {
            return;
        }
        this.#heardAtMs = nowMs;
        this.#usualLatencyMs = this.#usualLatencyMs === undefined
            ? latencyMs
            : this.#usualLatencyMs * 0.9 + latencyMs * 0.1;
    }
}
