import { type RegisteredServer } from "@galenaglade/fleet-state";
import { countsAsServerFailure, isPossibleServerCrash } from "@galenaglade/placement";
import { type SendResult } from "../backends/sendRequest.js";
import { type ServerLiveness } from "../backends/serverLivenessChecker.js";
import { minComparisonServers, maxComparisonServers } from "../constants.js";
import { type QuarantineGuard } from "../quarantine/quarantineGuard.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { describeSendEnd } from "./localReplies.js";
import { type LazyContentId } from "./lazyContentId.js";
import { type ExchangeDeps } from "./exchangeDeps.js";
import { type SendPurpose } from "./exchangePlacement.js";
import { type Placement } from "./placer.js";

/** One send that has ended. */
export interface ServerSendResult {
    readonly place: Placement;
    readonly purpose: SendPurpose;
    /** Whether nothing had been heard on its connection before. */
    readonly isNewConnection: boolean;
    /** What was known of crashes when it began. */
    readonly ledgerVersion: number;
    readonly result: SendResult;
    /** Whether the caller's answer had come from another send. */
    readonly superseded: boolean;
}

/** Learns from the ends of one request's sends: for the gateway's belief of servers and contents, its log and its metrics. */
export class SendResultHandler {
    readonly #parts: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #content: LazyContentId;
    readonly #guard: QuarantineGuard;
    /** Checks of servers that lost the request. */
    readonly #checks: Promise<void>[] = [];

    constructor(parts: ExchangeDeps, request: EdgeRequest, content: LazyContentId, guard: QuarantineGuard) {
        this.#parts = parts;
        this.#request = request;
        this.#content = content;
        this.#guard = guard;
    }

    /** Settles once it is known what became of all servers that lost the request. */
    async whenLivenessChecked(): Promise<void> {
        await Promise.all(this.#checks);
    }

    onSendEnded(outcome: ServerSendResult): void {
        const { board, clock, metrics, reachability, rollouts } = this.#parts;
        const { place: { server, score }, purpose, isNewConnection, ledgerVersion, result, superseded } = outcome;
        const { end, response, tookMs } = result;
        const { rules: { name: service }, route } = this.#request;
        const nowMs = clock.monotonicMs();
        const typicalMs = board.typicalLatency.of(service, route.objectiveMs);
        const trial = { end, tookMs, typicalMs, factor: score.latencyFactor, beaten: superseded };
        // What fails on this host's links says nothing of a version.
        const isEvidence = purpose === "first"
            && (end.type === "answered" || reachability.stateOf(service) === "reached");
        rollouts.onSendEnded(server, route.name, isEvidence ? trial : undefined);
        metrics.onSendEnded(service, purpose, describeSendEnd(end));
        this.#guard.onSendEnded(end, ledgerVersion);
        if (result.contact !== undefined) {
            const startedAtMs = nowMs - tookMs;
            reachability.onContact({ service, serverId: server.id, isNewConnection, end: result.contact, startedAtMs });
        }
        if (isPossibleServerCrash(end)) {
            this.#checks.push(this.#checkLost(outcome));
        }
        if (countsAsServerFailure(end)) {
            board.onFailure(service, server.id, nowMs);
        }
        else if (end.type === "answered") {
            board.suspects.onSuccess(server.id);
            if (!rollouts.isOnTrial(server)) {
                board.typicalLatency.onResponse(service, tookMs, score.latencyFactor);
            }
        }
        this.#noteServer(server, result, nowMs);
        const load = response?.metadata.load;
        if (load !== undefined) {
            board.onLoadReport(service, server, load, nowMs);
        }
    }

    /** An answer of another server that has the address now says nothing of this one. */
    #noteServer(server: RegisteredServer, { end, metadata, streamed, tookMs }: SendResult, nowMs: number): void {
        // The head of an answer that broke off later was sound, and its caller has it.
        const isOwn = streamed || end.type === "answered" || (end.type === "notRun" && end.reason === "turnedAway");
        if (metadata === undefined || !isOwn || (metadata.serverId ?? server.id) !== server.id) {
            return;
        }
        this.#parts.metadataRecorder.record({
            server,
            metadata: metadata,
            source: { answered: "request", sentAtMs: nowMs - tookMs },
            requestId: this.#request.requestId,
            nowMs,
        });
    }

    /**
     * A server that refuses connections has ended, unless other servers refuse them as well: then this host's links may be what fails,
     * and a crash would be reported to the whole fleet that never was.
     */
    async #checkServer(server: RegisteredServer): Promise<ServerLiveness> {
        const { checks, clock, random, view } = this.#parts;
        const state = await checks.check(server);
        if (state !== "ended") {
            return state;
        }
        const others = view.usableServers(server.service, clock.monotonicMs()).filter(({ id }) => id !== server.id);
        const witnesses: RegisteredServer[] = [];
        while (witnesses.length < maxComparisonServers && others.length > 0) {
            witnesses.push(...others.splice(Math.floor(random.next() * others.length), 1));
        }
        if (witnesses.length < minComparisonServers) {
            return state;
        }
        const states = await Promise.all(witnesses.map(witness => checks.check(witness)));
        return states.includes("listening") ? "ended" : "unknown";
    }

    /** Tells servers that ended with a request from those that lost only its connection. */
    async #checkLost({ place: { server }, ledgerVersion, result: { tookMs } }: ServerSendResult): Promise<void> {
        const { clock, log, metrics } = this.#parts;
        const { requestId, rules, route, callerAddress } = this.#request;
        const lostAtMs = clock.monotonicMs();
        const state = await this.#checkServer(server);
        metrics.onSendLost(rules.name, state);
        this.#guard.onServerLost(server, state, ledgerVersion);
        log.log("warn", "sendLost", {
            requestId,
            contentId: this.#content.contentId,
            route: route.name,
            callerAddress,
            from: server.id,
            server: state,
            tookMs: Math.round(tookMs),
            checkedMs: Math.round(clock.monotonicMs() - lostAtMs),
        });
    }
}
