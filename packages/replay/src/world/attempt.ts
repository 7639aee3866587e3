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
type SendStep = Extract<SearchStep, { readonly type: "send"; }>;

/** Outcome of an attempt for its caller. */
export type AttemptOutcome =
    | { readonly type: "answered"; }
    | { readonly type: "refused"; readonly retryAfterMs: number; }
    /** The attempt failed, and the request may have run. Only callers of idempotent requests try again. */
    | { readonly type: "failed"; };

interface ActiveSend {
    readonly step: SendStep;
    readonly sentAtMs: number;
    readonly send: ServerSend;
}

/** Timeout of the first round of probes. It doubles with each further round, up to the maximum. */
const firstProbeTimeoutMs = 35;
const maxProbeTimeoutMs = 150;

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
    readonly #triedServers = new Set<string>();
    readonly #activeSends = new Set<ActiveSend>();
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
        this.#gateway.schedule(givesUpAtMs - events.nowMs, () => this.#onCallerGaveUp());
        this.#gateway.schedule(this.#cutoffMs() - events.nowMs, () => this.#onTimeout());
        this.#gateway.execute(costs.requestMs, () =>
            this.#waitForFirstRead(() => {
                this.#gateway.onRequest(kind.service, kind.priority);
                this.#enqueueAtStartup();
            }));
    }

    #enqueueAtStartup(): void {
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
        this.#startSearch("first");
        this.#scheduleHedge();
    }

    /** Holds the request until the gateway's first read of the store, or refuses it if that takes too long. */
    #waitForFirstRead(run: () => void): void {
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

    #startSearch(purpose: Purpose): void {
        const { objectiveMs, priority } = this.#kind;
        const finder = this.#gateway.createFinder({
            rules: this.#rules,
            objectiveMs,
            priority: priority,
            arrivedAtMs: this.#arrivedAtMs,
            cutoffMs: this.#cutoffMs(),
            triedServers: this.#triedServers,
            onlyGood: purpose === "hedge",
        });
        this.#continueSearch(finder, purpose);
    }

    #continueSearch(finder: ServerFinder, purpose: Purpose): void {
        if (this.#isOver || (purpose === "hedge" && this.#activeSends.size === 0)) {
            return;
        }
        const step = finder.step(this.#gateway.snapshot(this.#kind.service));
        switch (step.type) {
            case "ask":
                this.#probe(step.servers, step.round, () => this.#continueSearch(finder, purpose));
                return;
            case "pause":
                this.#gateway.schedule(step.forMs, () => this.#continueSearch(finder, purpose));
                return;
            case "refuse":
                this.#onNoServer(purpose, step.reason === "noServer" ? "noServer" : "full");
                return;
            case "send":
                if (purpose !== "hedge" || this.#takeRepeatBudget("hedge")) {
                    this.#send(step);
                }
        }
    }

    #probe(servers: readonly RegisteredServer[], round: number, onResult: () => void): void {
        const timeoutMs = Math.min(maxProbeTimeoutMs, firstProbeTimeoutMs * 2 ** round);
        probeServers({ gateway: this.#gateway, service: this.#kind.service, servers, timeoutMs, onResult });
    }

    #send(step: SendStep): void {
        const gateway = this.#gateway;
        const server = gateway.directory.get(step.server.id);
        if (server === undefined) {
            throw new Error(`unknown server ${step.server.id}`);
        }
        this.#triedServers.add(server.id);
        const activeSend: ActiveSend = {
            step,
            sentAtMs: this.#nowMs(),
            send: new ServerSend(gateway, server, this.#caller.workMs, {
                isNeeded: () => !this.#isOver,
                onArrival: () => gateway.repeatedArrivals += this.#arrivals++ > 0 ? 1 : 0,
                onEnded: (end, status) => this.#onSendEnded(activeSend, end, status),
                onBackoff: backoffMs => gateway.placementState.onBackoff(step.server, backoffMs, this.#nowMs()),
            }),
        };
        this.#activeSends.add(activeSend);
        activeSend.send.start();
        gateway.onAttemptSent(this);
    }

    #onSendEnded(activeSend: ActiveSend, end: SendEnd, status: ServerStatus | undefined): void {
        const { placementState, connections } = this.#gateway;
        const { step, sentAtMs } = activeSend;
        const { server } = step;
        const service = this.#kind.service;
        if (!this.#activeSends.delete(activeSend)) {
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
            placementState.typicalLatency.onResponse(service, this.#nowMs() - sentAtMs, step.score.latencyFactor);
        }
        if (status?.load !== undefined) {
            placementState.onLoadReport(service, server, status.load, this.#nowMs());
        }
        if (status?.limit !== undefined) {
            placementState.onLimit(server, status.limit, { answered: "request", sentAtMs }, this.#nowMs());
        }
        if (this.#isOver) {
            return;
        }
        if (end.type === "answered") {
            this.#finish({ type: "answered" });
            return;
        }
        this.#retryIfAllowed(end);
    }

    #retryIfAllowed(end: SendEnd): void {
        const { idempotent } = this.#kind;
        const mayRetry = isRetryAllowed({
            idempotent,
            isBodyReplayable: true,
            maximumRuns: 2,
            ends: this.#ends,
            inFlight: this.#activeSends.size,
        });
        const reachedServer = !(end.type === "notRun" && end.reason === "connectFailed");
        if (mayRetry && (!reachedServer || this.#takeRepeatBudget("retry"))) {
            this.#startSearch("retry");
            return;
        }
        this.#onAllFailed();
    }

    #onAllFailed(): void {
        if (this.#activeSends.size > 0) {
            return;
        }
        if (this.#ends.every(({ type }) => type === "notRun")) {
            this.#refuse("turnedAway");
            return;
        }
        this.#finish({ type: "failed" });
    }

    #onNoServer(purpose: Purpose, cause: RefusalCause): void {
        if (purpose === "first") {
            this.#refuse(cause);
        }
        else if (purpose === "retry") {
            this.#onAllFailed();
        }
    }

    #onTimeout(): void {
        if (this.#isOver) {
            return;
        }
        if (this.#activeSends.size === 0 && this.#ends.every(({ type }) => type === "notRun")) {
            this.#refuse("full");
            return;
        }
        this.#finish({ type: "failed" });
    }

    #onCallerGaveUp(): void {
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
        for (const { send } of this.#activeSends) {
            send.abandon();
        }
    }

    #scheduleHedge(): void {
        if (!this.#kind.idempotent) {
            return;
        }
        const delayMs = this.#kind.objectiveMs * this.#gateway.policy.hedgeAfterShare;
        this.#gateway.schedule(delayMs - (this.#nowMs() - this.#arrivedAtMs), () => {
            if (!this.#isOver && this.#activeSends.size === 1 && this.#ends.length === 0) {
                this.#startSearch("hedge");
            }
        });
    }

    #takeRepeatBudget(purpose: "retry" | "hedge"): boolean {
        const { repeatBudget } = this.#gateway;
        return repeatBudget.take(this.#kind.service, purpose, this.#gateway.knownGateways(), this.#nowMs());
    }
}
