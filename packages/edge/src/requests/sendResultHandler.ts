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

/** Result of a send to a backend server. */
export interface ServerSendResult {
    readonly place: Placement;
    readonly purpose: SendPurpose;
    /** Whether the server had never responded on the connection before. */
    readonly isNewConnection: boolean;
    /** Mark of the crash ledger when the send began. */
    readonly ledgerVersion: number;
    readonly result: SendResult;
    /** Whether the caller already had the response of another send. */
    readonly superseded: boolean;
}

/**
 * Passes the results of one request's sends on to placement, reachability, rollouts, quarantine, the log and the
 * metrics.
 */
export class SendResultHandler {
    readonly #parts: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #content: LazyContentId;
    readonly #guard: QuarantineGuard;
    /** Liveness checks of servers whose connection was lost with the request. */
    readonly #checks: Promise<void>[] = [];

    constructor(parts: ExchangeDeps, request: EdgeRequest, content: LazyContentId, guard: QuarantineGuard) {
        this.#parts = parts;
        this.#request = request;
        this.#content = content;
        this.#guard = guard;
    }

    /** Resolves once the liveness checks of all these servers are done. */
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
        // A failure while this host's links are down is no evidence about the server's version.
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

    /** Records the response's metadata, unless it is another server's that has taken over the address. */
    #noteServer(server: RegisteredServer, { end, metadata, streamed, tookMs }: SendResult, nowMs: number): void {
        // The head of a streamed response was valid even if the response was cut off later.
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
     * A server that refuses connections has crashed, unless the other servers that are checked don't accept any either:
     * then this host's links may have failed, and a crash that never happened would be reported to the whole fleet.
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

    /** Finds out whether the server crashed or only the connection was lost, and reports a crash. */
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
