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
    #uncertainUntilMs: number[] = [];
    #epoch = 0;
    #isWarm = false;
    #incarnation: string | undefined;
    #warmConfirmedAtMs = Number.NEGATIVE_INFINITY;
    #lastResponseAtMs = Number.NEGATIVE_INFINITY;
    #averageLatencyMs: number | undefined;
    #goodResponses = 0;
    #concurrencyLimit: number;

    constructor(serverId: ServerId, limits: ServerLimits) {
        this.serverId = serverId;
        this.limits = limits;
        this.#concurrencyLimit = limits.concurrency;
    }

    get epoch(): number {
        return this.#epoch;
    }

    get incarnation(): string | undefined {
        return this.#incarnation;
    }

    /** Sending time of the latest request whose response confirmed that the server is warm. */
    get warmConfirmedAtMs(): number {
        return this.#warmConfirmedAtMs;
    }

    get isWarm(): boolean {
        return this.#isWarm;
    }

    /** Number of requests in flight from this gateway, including those with an unknown outcome. */
    inFlight(nowMs: number): number {
        this.#uncertainUntilMs = this.#uncertainUntilMs.filter(untilMs => nowMs < untilMs);
        return this.#requests.size + this.#uncertainUntilMs.length;
    }

    /** Whether the server was confirmed warm recently, so that any gateway may send to it without a permit. */
    isConfirmedWarm(nowMs: number): boolean {
        return this.#isWarm && nowMs < this.#warmConfirmedAtMs + this.limits.idleMs;
    }

    /** Maximum number of requests in flight, over all gateways, that the permit holder allows. */
    get warmUpConcurrency(): number {
        // An idle server that was warm gets one trial request, since it may have turned cold unannounced.
        return this.#isWarm ? 1 : this.#concurrencyLimit;
    }

    /** @returns a request in flight, if it is known */
    getRequest(requestId: string): SentRequest | undefined {
        return this.#requests.get(requestId);
    }

    onSent(requestId: string, deadlineMs: number, authorityId: string | undefined, nowMs: number): void {
        this.#requests.set(requestId, {
            sentAtMs: nowMs,
            deadlineMs,
            epoch: this.#epoch,
            wasWarm: this.isConfirmedWarm(nowMs),
            authorityId,
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
            this.#uncertainUntilMs.push(sent.deadlineMs + cancellationGraceMs);
        }
        const latencyMs = nowMs - sent.sentAtMs;
        const isCold = this.#indicatesCold(end, latencyMs, nowMs);
        this.#recordResponse(end, latencyMs, nowMs);
        if (this.#isWarm) {
            return this.#onEndWhileWarm(sent, end, isCold);
        }
        if (sent.epoch === this.#epoch && !sent.wasWarm) {
            this.#onEndWhileCold(sent, end);
        }
        return false;
    }

    /** @returns whether metadata from outside of requests shows that the server has turned cold */
    onReport(metadata: ServerMetadata, nowMs: number): boolean {
        // The endpoints lag: one that still reports "cold" after the server's responses report "warm" would take a warm
        // server out again and again. Recent responses take precedence.
        const hasRecentResponse = nowMs < this.#warmConfirmedAtMs + maxReportLagMs;
        const isCold = this.#isNewIncarnation(metadata) || (metadata.state === "cold" && !hasRecentResponse);
        if (!this.#isWarm || !isCold) {
            return false;
        }
        this.markCold(metadata.incarnation);
        return true;
    }

    markCold(incarnation: string | undefined): void {
        this.#setCold(this.#epoch + 1, incarnation);
    }

    /**
     * Merges the state known to a peer or the store. Later epochs take precedence over earlier ones and, within an
     * epoch, warm over cold, so that the result does not depend on the order in which signals arrive.
     *
     * @returns whether the state changed
     */
    merge(epoch: number, isWarm: boolean, incarnation: string | undefined, warmConfirmedAtMs: number): boolean {
        if (epoch > this.#epoch) {
            this.#setCold(epoch, incarnation);
            if (isWarm) {
                this.#setWarm(warmConfirmedAtMs);
            }
            return true;
        }
        if (epoch === this.#epoch && isWarm) {
            const isNew = !this.#isWarm;
            this.#setWarm(warmConfirmedAtMs);
            return isNew;
        }
        return false;
    }

    /** Clears the confirmation that the server is warm, as after a loss of contact with the peers. */
    clearWarmConfirmation(): void {
        this.#warmConfirmedAtMs = Number.NEGATIVE_INFINITY;
    }

    #setCold(epoch: number, incarnation: string | undefined): void {
        this.#epoch = epoch;
        this.#isWarm = false;
        this.#incarnation = incarnation ?? this.#incarnation;
        this.#warmConfirmedAtMs = Number.NEGATIVE_INFINITY;
        this.#resetRampUp();
    }

    #setWarm(warmConfirmedAtMs: number): void {
        this.#isWarm = true;
        this.#warmConfirmedAtMs = Math.max(this.#warmConfirmedAtMs, warmConfirmedAtMs);
    }

    #resetRampUp(): void {
        this.#goodResponses = 0;
        this.#concurrencyLimit = this.limits.concurrency;
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
            this.#warmConfirmedAtMs = Math.max(this.#warmConfirmedAtMs, sent.sentAtMs);
        }
        return false;
    }

    #onEndWhileCold(sent: SentRequest, end: AttemptCompletion): void {
        const { metadata } = end;
        if (end.outcome === "shed" || end.outcome === "refused" || end.outcome === "failed") {
            this.#resetRampUp();
            return;
        }
        if (end.outcome !== "good" || metadata.state === "leaving") {
            return;
        }
        if (this.#isNewIncarnation(metadata)) {
            this.#resetRampUp();
        }
        this.#incarnation = metadata.incarnation ?? this.#incarnation;
        this.#goodResponses++;
        if (
            metadata.state === "warm"
            || (metadata.state === undefined && this.#goodResponses >= this.limits.answersToWarm)
        ) {
            this.#setWarm(sent.sentAtMs);
            return;
        }
        this.#raiseLimit(metadata.bears);
    }

    /** Raises the limit by one for each good response, up to the concurrency that the server itself reports. */
    #raiseLimit(bears: number | undefined): void {
        if (bears !== undefined) {
            this.#concurrencyLimit = Math.max(1, Math.min(this.#concurrencyLimit + 1, bears, this.limits.slots));
        }
    }

    #indicatesCold(end: AttemptCompletion, latencyMs: number, nowMs: number): boolean {
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
        return end.outcome === "good" && metadata.state === undefined && this.#isSlowAfterIdle(latencyMs, nowMs);
    }

    #isSlowAfterIdle(latencyMs: number, nowMs: number): boolean {
        return this.#averageLatencyMs !== undefined
            && nowMs - latencyMs >= this.#lastResponseAtMs + latencyCheckIdleMs
            && latencyMs > this.#averageLatencyMs * coldLatencyFactor;
    }

    #isNewIncarnation(metadata: ServerMetadata): boolean {
        return metadata.incarnation !== undefined
            && this.#incarnation !== undefined
            && metadata.incarnation !== this.#incarnation;
    }

    #recordResponse(end: AttemptCompletion, latencyMs: number, nowMs: number): void {
        if (end.outcome !== "good") {
            return;
        }
        this.#lastResponseAtMs = nowMs;
        this.#averageLatencyMs = this.#averageLatencyMs === undefined
            ? latencyMs
            : this.#averageLatencyMs * 0.9 + latencyMs * 0.1;
    }
}
