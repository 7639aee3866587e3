import { type ServerId } from "@galenaglade/routing";
import { type ServerMetadata, type AttemptCompletion } from "./serverMetadata.js";
import { cancellationGraceMs, maxReportLagMs, latencyCheckIdleMs, coldLatencyFactor } from "./constants.js";

/** Cold-start limits of one server from the configuration. */
export interface ServerLimits {
    /** Maximum number of requests in flight while the server is cold. */
    readonly concurrency: number;
    /** Number of requests that the server runs concurrently while warm. */
    readonly slots: number;
    readonly answersToWarm: number;
    readonly idleMs: number;
    /** Maximum patience of the service's callers, in milliseconds. */
    readonly maxPatienceMs: number;
}

/** A request in flight. */
export interface SentRequest {
    readonly sentAtMs: number;
    readonly deadlineMs: number;
    readonly epoch: number;
    readonly wasWarm: boolean;
    /** Period of authority under which the request was sent, if the server was not warm. */
    readonly authorityId: string | undefined;
}

/** State of one backend server as known to one gateway. */
export class ServerState {
    readonly serverId: ServerId;
    limits: ServerLimits;
    readonly #requests = new Map<string, SentRequest>();
    /** Times by which requests with an unknown outcome have certainly ended. */
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

    /** Sending time of the latest request whose response confirmed that the server is warm. */
    get warmConfirmedAtMs(): number {
        return this.#evidenceAtMs;
    }

    get isWarm(): boolean {
        return this.#isWarm;
    }

    /** Number of requests in flight from this gateway, including those with an unknown outcome. */
    inFlight(nowMs: number): number {
        this.#lingering = this.#lingering.filter(untilMs => nowMs < untilMs);
        return this.#requests.size + this.#lingering.length;
    }

    /** Whether the server was confirmed warm recently, so that any gateway may send to it without a permit. */
    isConfirmedWarm(nowMs: number): boolean {
        return this.#isWarm && nowMs < this.#evidenceAtMs + this.limits.idleMs;
    }

    /** Maximum number of requests in flight, over all gateways, that the permit holder allows. */
    get warmUpConcurrency(): number {
        // An idle server that was warm gets one trial request, since it may have turned cold unannounced.
        return this.#isWarm ? 1 : this.#limit;
    }

    /** @returns a request in flight, if it is known */
    getRequest(requestId: string): SentRequest | undefined {
        return this.#requests.get(requestId);
    }

    onSent(requestId: string, deadlineMs: number, stretch: string | undefined, nowMs: number): void {
        this.#requests.set(requestId, {
            sentAtMs: nowMs,
            deadlineMs,
            epoch: this.#epoch,
            wasWarm: this.isConfirmedWarm(nowMs),
            authorityId: stretch,
        });
    }

    /** @returns whether the end of the request shows that the server has turned cold */
    onEnd(requestId: string, end: AttemptCompletion, nowMs: number): boolean {
        const sent = this.#requests.get(requestId);
        if (sent === undefined) {
            return false;
        }
        this.#requests.delete(requestId);
        if (end.mayStillRun) {
            this.#lingering.push(sent.deadlineMs + cancellationGraceMs);
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

    /** @returns whether metadata from outside of requests shows that the server has turned cold */
    onReport(signs: ServerMetadata, nowMs: number): boolean {
        // The endpoints lag: one that still reports "cold" after the server's responses report "warm" would take a warm
        // server out again and again. Recent responses take precedence.
        const isContradicted = nowMs < this.#evidenceAtMs + maxReportLagMs;
        const isCold = this.#isNewIncarnation(signs) || (signs.state === "cold" && !isContradicted);
        if (!this.#isWarm || !isCold) {
            return false;
        }
        this.markCold(signs.incarnation);
        return true;
    }

    markCold(incarnation: string | undefined): void {
        this.#becomeCold(this.#epoch + 1, incarnation);
    }

    /**
     * Merges the state known to a peer or the store. Later epochs take precedence over earlier ones and, within an
     * epoch, warm over cold, so that the result does not depend on the order in which signals arrive.
     *
     * @returns whether the state changed
     */
    merge(epoch: number, isWarm: boolean, incarnation: string | undefined, evidenceAtMs: number): boolean {
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

    /** Clears the confirmation that the server is warm, as after a loss of contact with the peers. */
    clearWarmConfirmation(): void {
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

    #onEndWhileWarm(sent: SentRequest, end: AttemptCompletion, isCold: boolean): boolean {
        // A request of an earlier epoch shows nothing that the permit holder of that epoch has not already detected.
        if (sent.epoch !== this.#epoch) {
            return false;
        }
        if (isCold) {
            this.markCold(end.metadata.incarnation);
            return true;
        }
        if (end.outcome === "good") {
            this.#incarnation = end.metadata.incarnation ?? this.#incarnation;
            this.#evidenceAtMs = Math.max(this.#evidenceAtMs, sent.sentAtMs);
        }
        return false;
    }

    #onEndWhileCold(sent: SentRequest, end: AttemptCompletion): void {
        const { metadata } = end;
        if (end.outcome === "shed" || end.outcome === "refused" || end.outcome === "failed") {
            this.#restartRamp();
            return;
        }
        if (end.outcome !== "good" || metadata.state === "leaving") {
            return;
        }
        if (this.#isNewIncarnation(metadata)) {
            this.#restartRamp();
        }
        this.#incarnation = metadata.incarnation ?? this.#incarnation;
        this.#goodAnswers++;
        if (
            metadata.state === "warm"
            || (metadata.state === undefined && this.#goodAnswers >= this.limits.answersToWarm)
        ) {
            this.#becomeWarm(sent.sentAtMs);
            return;
        }
        this.#growLimit(metadata.bears);
    }

    /** Raises the limit by one for each good response, up to the concurrency that the server itself reports. */
    #growLimit(bears: number | undefined): void {
        if (bears !== undefined) {
            this.#limit = Math.max(1, Math.min(this.#limit + 1, bears, this.limits.slots));
        }
    }

    #isSignOfCold(end: AttemptCompletion, latencyMs: number, nowMs: number): boolean {
        const { metadata } = end;
        if (metadata.state === "cold" || this.#isNewIncarnation(metadata)) {
            return true;
        }
        if (end.outcome === "refused") {
            return true;
        }
        if (end.outcome === "shed") {
            // A server that reports itself warm sheds because of its load, not because it is cold.
            return metadata.state === undefined;
        }
        return end.outcome === "good" && metadata.state === undefined && this.#isSlowAfterSilence(latencyMs, nowMs);
    }

    #isSlowAfterSilence(latencyMs: number, nowMs: number): boolean {
        return this.#usualLatencyMs !== undefined
            && nowMs - latencyMs >= this.#heardAtMs + latencyCheckIdleMs
            && latencyMs > this.#usualLatencyMs * coldLatencyFactor;
    }

    #isNewIncarnation(signs: ServerMetadata): boolean {
        return signs.incarnation !== undefined
            && this.#incarnation !== undefined
            && signs.incarnation !== this.#incarnation;
    }

    #noteHeard(end: AttemptCompletion, latencyMs: number, nowMs: number): void {
        if (end.outcome !== "good") {
            return;
        }
        this.#heardAtMs = nowMs;
        this.#usualLatencyMs = this.#usualLatencyMs === undefined
            ? latencyMs
            : this.#usualLatencyMs * 0.9 + latencyMs * 0.1;
    }
}
