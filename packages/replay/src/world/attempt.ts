import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import {
    admitDuringStartup,
    countsAsServerFailure,
    isRetryAllowed,
    type RefusalCause,
    drawRetryAfterSeconds,
    type SearchStep,
    type SendEnd,
    type ServerStatus,
} from "@galenaglade/placement";
import { type RequestKind } from "./scenario.js";
import { type ServerFinder } from "./serverFinder.js";
import { type SimulatedCaller } from "./simulatedCaller.js";
import { type SimulatedGateway } from "./simulatedGateway.js";
import { probeServers } from "./probeServers.js";
import { ServerSend } from "./serverSend.js";

type Purpose = "first" | "retry" | "hedge";
type Place = Extract<SearchStep, { readonly type: "send"; }>;

/** Outcome of an attempt for its caller. */
export type AttemptOutcome =
    | { readonly type: "answered"; }
    | { readonly type: "refused"; readonly retryAfterMs: number; }
    /** The attempt failed, and the request may have run. Only callers of idempotent requests try again. */
    | { readonly type: "failed"; };

interface SendUnderWay {
    readonly place: Place;
    readonly sentAtMs: number;
    readonly send: ServerSend;
}

/** Timeout of the first round of probes. It doubles with each further round, up to the maximum. */
const firstProbeTimeoutMs = 35;
const longestProbeTimeoutMs = 150;

/**
 * One attempt of a caller at one gateway: searches for servers, sends the request, retries and hedges where allowed,
 * and ends exactly once.
 */
export class Attempt {
    readonly #gateway: SimulatedGateway;
    readonly #caller: SimulatedCaller;
    readonly #onEnd: (end: AttemptOutcome) => void;
    readonly #rules: ServiceRules;
    readonly #arrivedAtMs: number;
    readonly #tried = new Set<string>();
    readonly #underWay = new Set<SendUnderWay>();
    readonly #ends: SendEnd[] = [];
    readonly #patienceMs: number;
    #arrivals = 0;
    #isOver = false;

    /**
     * @param gateway - the gateway that receives the request
     * @param caller - the caller that sent it
     * @param onEnd - called once, when the attempt ends
     */
    constructor(gateway: SimulatedGateway, caller: SimulatedCaller, onEnd: (end: AttemptOutcome) => void) {
        this.#gateway = gateway;
        this.#caller = caller;
        this.#onEnd = onEnd;
        this.#rules = gateway.directory.rulesOf(caller.kind.service);
        this.#arrivedAtMs = gateway.events.nowMs;
        this.#patienceMs = caller.givesUpAtMs - gateway.events.nowMs;
    }

    start(): void {
        const { events, costs } = this.#gateway;
        const { kind, givesUpAtMs } = this.#caller;
        this.#gateway.attempts.add(this);
        this.#gateway.schedule(givesUpAtMs - events.nowMs, () => this.#onCallerGone());
        this.#gateway.schedule(this.#cutoffMs() - events.nowMs, () => this.#onOutOfTime());
        this.#gateway.execute(costs.requestMs, () =>
            this.#whenRead(() => {
                this.#gateway.onRequest(kind.service, kind.priority);
                this.#whenTurn();
            }));
    }

    #whenTurn(): void {
        const { startupQueue, placementState, events } = this.#gateway;
        if (startupQueue?.isActive(events.nowMs) !== true) {
            this.#begin();
            return;
        }
        const { service, objectiveMs, name } = this.#kind;
        startupQueue.enqueue({
            arrivedAtMs: this.#arrivedAtMs,
            objectiveMs,
            patienceMs: this.#patienceMs,
            route: name,
            typicalLatencyMs: placementState.typicalLatency.of(service, objectiveMs),
        }, this);
        this.#gateway.dequeueReady();
    }

    /** The startup queue has released this attempt. */
    onDequeued(): void {
        if (this.#isOver) {
            this.#gateway.onAttemptEnded(this);
            return;
        }
        this.#begin();
    }

    #begin(): void {
        this.#place("first");
        this.#planHedge();
    }

    /** Holds the request until the gateway's first read of the store, or refuses it if that takes too long. */
    #whenRead(run: () => void): void {
        const gateway = this.#gateway;
        if (gateway.firstReadRemainingMs === 0) {
            run();
            return;
        }
        const admission = admitDuringStartup({
            readFailed: !gateway.holdsAtStart,
            held: gateway.heldAtStart,
            sinceStartMs: gateway.sinceStartMs,
            patienceMs: this.#caller.givesUpAtMs - this.#nowMs(),
        });
        if (admission.type === "refuse") {
            this.#refuse("unread");
            return;
        }
        gateway.heldAtStart++;
        gateway.schedule(Math.min(admission.forMs, gateway.firstReadRemainingMs), () => {
            gateway.heldAtStart--;
            if (gateway.firstReadRemainingMs === 0) {
                run();
            }
            else if (!this.#isOver) {
                this.#refuse("unread");
            }
        });
    }

    /** The gateway lost power, which closes the caller's connection and those to servers. */
    onPowerLost(): void {
        if (this.#isOver) {
            return;
        }
        this.#isOver = true;
        this.#abandonSends();
        this.#onEnd({ type: "failed" });
    }

    get #kind(): RequestKind {
        return this.#caller.kind;
    }

    #nowMs(): number {
        return this.#gateway.events.nowMs;
    }

    #cutoffMs(): number {
        return Math.min(this.#caller.givesUpAtMs, this.#arrivedAtMs + this.#kind.timeoutMs);
    }

    #place(purpose: Purpose): void {
        const { objectiveMs, priority } = this.#kind;
        const finder = this.#gateway.createFinder({
            rules: this.#rules,
            objectiveMs,
            priority: priority,
            arrivedAtMs: this.#arrivedAtMs,
            cutoffMs: this.#cutoffMs(),
            triedServers: this.#tried,
            onlyGood: purpose === "hedge",
        });
        this.#look(finder, purpose);
    }

    #look(finder: ServerFinder, purpose: Purpose): void {
        if (this.#isOver || (purpose === "hedge" && this.#underWay.size === 0)) {
            return;
        }
        const step = finder.step(this.#gateway.snapshot(this.#kind.service));
        switch (step.type) {
            case "ask":
                this.#ask(step.servers, step.round, () => this.#look(finder, purpose));
                return;
            case "pause":
                this.#gateway.schedule(step.forMs, () => this.#look(finder, purpose));
                return;
            case "refuse":
                this.#onNoPlace(purpose, step.reason === "noServer" ? "noServer" : "full");
                return;
            case "send":
                if (purpose !== "hedge" || this.#takeRepeat("hedge")) {
                    this.#send(step);
                }
        }
    }

    #ask(servers: readonly RegisteredServer[], round: number, onKnown: () => void): void {
        const timeoutMs = Math.min(longestProbeTimeoutMs, firstProbeTimeoutMs * 2 ** round);
        probeServers({ gateway: this.#gateway, service: this.#kind.service, servers, timeoutMs, onResult: onKnown });
    }

    #send(place: Place): void {
        const gateway = this.#gateway;
        const server = gateway.directory.get(place.server.id);
        if (server === undefined) {
            throw new Error(`unknown server ${place.server.id}`);
        }
        this.#tried.add(server.id);
        const underWay: SendUnderWay = {
            place,
            sentAtMs: this.#nowMs(),
            send: new ServerSend(gateway, server, this.#caller.workMs, {
                isNeeded: () => !this.#isOver,
                onArrival: () => gateway.repeatedArrivals += this.#arrivals++ > 0 ? 1 : 0,
                onEnded: (end, offer) => this.#onSendEnded(underWay, end, offer),
                onBackoff: restMs => gateway.placementState.onBackoff(place.server, restMs, this.#nowMs()),
            }),
        };
        this.#underWay.add(underWay);
        underWay.send.start();
        gateway.onAttemptSent(this);
    }

    #onSendEnded(underWay: SendUnderWay, end: SendEnd, offer: ServerStatus | undefined): void {
        const { placementState, connections } = this.#gateway;
        const { place, sentAtMs } = underWay;
        const { server } = place;
        const service = this.#kind.service;
        if (!this.#underWay.delete(underWay)) {
            return;
        }
        this.#ends.push(end);
        if (end.type !== "unknown") {
            connections.release(server.id, this.#nowMs());
        }
        if (countsAsServerFailure(end)) {
            placementState.onFailure(service, server.id, this.#nowMs());
        }
        else if (end.type === "answered") {
            placementState.suspects.onSuccess(server.id);
            placementState.typicalLatency.onResponse(service, this.#nowMs() - sentAtMs, place.score.latencyFactor);
        }
        if (offer?.load !== undefined) {
            placementState.onLoadReport(service, server, offer.load, this.#nowMs());
        }
        if (offer?.limit !== undefined) {
            placementState.onLimit(server, offer.limit, { answered: "request", sentAtMs }, this.#nowMs());
        }
        if (this.#isOver) {
            return;
        }
        if (end.type === "answered") {
            this.#finish({ type: "answered" });
            return;
        }
        this.#tryAgain(end);
    }

    #tryAgain(end: SendEnd): void {
        const { idempotent } = this.#kind;
        const mayGoOn = isRetryAllowed({
            idempotent,
            isBodyReplayable: true,
            maximumRuns: 2,
            ends: this.#ends,
            inFlight: this.#underWay.size,
        });
        const reachedServer = !(end.type === "notRun" && end.reason === "connectFailed");
        if (mayGoOn && (!reachedServer || this.#takeRepeat("retry"))) {
            this.#place("retry");
            return;
        }
        this.#onAllFailed();
    }

    #onAllFailed(): void {
        if (this.#underWay.size > 0) {
            return;
        }
        if (this.#ends.every(({ type }) => type === "notRun")) {
            this.#refuse("turnedAway");
            return;
        }
        this.#finish({ type: "failed" });
    }

    #onNoPlace(purpose: Purpose, cause: RefusalCause): void {
        if (purpose === "first") {
            this.#refuse(cause);
        }
        else if (purpose === "retry") {
            this.#onAllFailed();
        }
    }

    #onOutOfTime(): void {
        if (this.#isOver) {
            return;
        }
        if (this.#underWay.size === 0 && this.#ends.every(({ type }) => type === "notRun")) {
            this.#refuse("full");
            return;
        }
        this.#finish({ type: "failed" });
    }

    #onCallerGone(): void {
        if (!this.#isOver) {
            this.#finish({ type: "failed" });
        }
    }

    #refuse(cause: RefusalCause): void {
        const { placementState, random } = this.#gateway;
        const typicalMs = placementState.typicalLatency.of(this.#kind.service, this.#kind.objectiveMs);
        this.#finish({ type: "refused", retryAfterMs: drawRetryAfterSeconds(cause, typicalMs, random) * 1_000 });
    }

    #finish(end: AttemptOutcome): void {
        this.#isOver = true;
        this.#gateway.attempts.delete(this);
        this.#gateway.onAttemptEnded(this);
        this.#abandonSends();
        this.#onEnd(end);
    }

    /**
     * Abandons the sends in flight. The send of a non-idempotent request continues while its caller is waiting, because
     * after an abort it would be unknown whether the request ran.
     */
    #abandonSends(): void {
        if (!this.#kind.idempotent && this.#caller.isWaiting(this.#nowMs())) {
            return;
        }
        for (const { send } of this.#underWay) {
            send.abandon();
        }
    }

    #planHedge(): void {
        if (!this.#kind.idempotent) {
            return;
        }
        const delayMs = this.#kind.objectiveMs * this.#gateway.policy.hedgeAfterShare;
        this.#gateway.schedule(delayMs - (this.#nowMs() - this.#arrivedAtMs), () => {
            if (!this.#isOver && this.#underWay.size === 1 && this.#ends.length === 0) {
                this.#place("hedge");
            }
        });
    }

    #takeRepeat(purpose: "retry" | "hedge"): boolean {
        const { repeatBudget } = this.#gateway;
        return repeatBudget.take(this.#kind.service, purpose, this.#gateway.countKnownGateways(), this.#nowMs());
    }
}
