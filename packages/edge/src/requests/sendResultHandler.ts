import { type RegisteredServer } from "@galenaglade/fleet-state";
import { countsAsServerFailure, isPossibleServerCrash } from "@galenaglade/placement";
import { type SendResult } from "../backends/sendRequest.js";
import { type ServerLiveness } from "../backends/serverLivenessChecker.js";
import { minComparisonServers, maxComparisonServers } from "../constants.js";
import { type QuarantineGuard } from "../quarantine/quarantineGuard.js";
import { type EdgeRequest } from "./edgeRequest.js";
import { describeSendEnd } from "./describeSendEnd.js";
import { reportIncompleteResponse } from "./reportIncompleteResponse.js";
import { type LazyContentId } from "./lazyContentId.js";
import { type ExchangeDeps } from "./exchangeDeps.js";
import { type SendPurpose } from "./exchangePlacement.js";
import { type Placement } from "./placer.js";

/** Result of a send to a backend server. */
export interface ServerSendResult {
    readonly placement: Placement;
    readonly purpose: SendPurpose;
    /** Whether the server had never responded on the connection before. */
    readonly isNewConnection: boolean;
    /** Version of the crash ledger when the send began. */
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
    readonly #deps: ExchangeDeps;
    readonly #request: EdgeRequest;
    readonly #contentId: LazyContentId;
    readonly #quarantineGuard: QuarantineGuard;
    /** Liveness checks of servers whose connection was lost with the request. */
    readonly #livenessChecks: Promise<void>[] = [];

    constructor(deps: ExchangeDeps, request: EdgeRequest, contentId: LazyContentId, quarantineGuard: QuarantineGuard) {
        this.#deps = deps;
        this.#request = request;
        this.#contentId = contentId;
        this.#quarantineGuard = quarantineGuard;
    }

    /** Resolves once the liveness checks of all these servers are done. */
    async whenLivenessChecked(): Promise<void> {
        await Promise.all(this.#livenessChecks);
    }

    onSendEnded(sendResult: ServerSendResult): void {
        const { placementState, clock, log, metrics, reachability, rollouts } = this.#deps;
        const { placement: { server, score }, purpose, isNewConnection, ledgerVersion, result, superseded } =
            sendResult;
        const { end, response, tookMs } = result;
        const { rules: { name: service }, route } = this.#request;
        const nowMs = clock.monotonicMs();
        const typicalMs = placementState.typicalLatency.of(service, route.objectiveMs);
        const sample = { end, tookMs, typicalMs, factor: score.latencyFactor, beaten: superseded };
        // A failure while this host's links are down is no evidence about the server's version.
        const isEvidence = purpose === "first"
            && (end.type === "answered" || reachability.stateOf(service) === "reached");
        rollouts.onSendEnded(server, route.name, isEvidence ? sample : undefined);
        metrics.onSendEnded(service, purpose, describeSendEnd(end));
        this.#quarantineGuard.onSendEnded(end, ledgerVersion);
        if (result.contact !== undefined) {
            const startedAtMs = nowMs - tookMs;
            reachability.onContact({ service, serverId: server.id, isNewConnection, end: result.contact, startedAtMs });
        }
        if (end.type === "unknown" && end.reason === "notAnAnswer") {
            log.log("warn", "notAnAnswer", {
                requestId: this.#request.requestId,
                service,
                from: server.id,
                detail: result.detail,
                tookMs: Math.round(tookMs),
            });
        }
        reportIncompleteResponse(this.#deps, this.#request, server.id, result);
        if (isPossibleServerCrash(end)) {
            this.#livenessChecks.push(this.#checkLostServer(sendResult));
        }
        if (countsAsServerFailure(end)) {
            placementState.onFailure(service, server.id, nowMs);
        }
        else if (end.type === "answered") {
            placementState.suspects.onSuccess(server.id);
            if (!rollouts.isOnTrial(server)) {
                placementState.typicalLatency.onResponse(service, tookMs, score.latencyFactor);
            }
        }
        this.#recordMetadata(server, result, nowMs);
        const load = response?.metadata.load;
        if (load !== undefined) {
            placementState.onLoadReport(service, server, load, nowMs);
        }
    }

    /** Records the response's metadata, unless it is another server's that has taken over the address. */
    #recordMetadata(server: RegisteredServer, { end, metadata, streamed, tookMs }: SendResult, nowMs: number): void {
        // The head of a streamed response was valid even if the response was cut off later.
        const isOwn = streamed || end.type === "answered" || (end.type === "notRun" && end.reason === "turnedAway");
        if (metadata === undefined || !isOwn || (metadata.serverId ?? server.id) !== server.id) {
            return;
        }
        this.#deps.metadataRecorder.record({
            server,
            metadata,
            source: { answered: "request", sentAtMs: nowMs - tookMs },
            requestId: this.#request.requestId,
            nowMs,
        });
    }

    /**
     * A server that refuses connections has crashed, unless the other servers that are checked don't accept any either:
     * then this host's links may have failed, and a crash that never happened would be reported to the whole fleet.
     */
    async #checkLiveness(server: RegisteredServer): Promise<ServerLiveness> {
        const { livenessChecker, clock, random, view } = this.#deps;
        const state = await livenessChecker.check(server);
        if (state !== "ended") {
            return state;
        }
        const others = view.usableServers(server.service, clock.monotonicMs()).filter(({ id }) => id !== server.id);
        const comparisonServers: RegisteredServer[] = [];
        while (comparisonServers.length < maxComparisonServers && others.length > 0) {
            comparisonServers.push(...others.splice(Math.floor(random.next() * others.length), 1));
        }
        if (comparisonServers.length < minComparisonServers) {
            return state;
        }
        const states = await Promise.all(comparisonServers.map(other => livenessChecker.check(other)));
        return states.includes("listening") ? "ended" : "unknown";
    }

    /** Finds out whether the server crashed or only the connection was lost, and reports a crash. */
    async #checkLostServer(
        { placement: { server }, ledgerVersion, result: { tookMs } }: ServerSendResult,
    ): Promise<void> {
        const { clock, log, metrics } = this.#deps;
        const { requestId, rules, route, callerAddress } = this.#request;
        const lostAtMs = clock.monotonicMs();
        const state = await this.#checkLiveness(server);
        metrics.onSendLost(rules.name, state);
        this.#quarantineGuard.onServerLost(server, state, ledgerVersion);
        log.log("warn", "sendLost", {
            requestId,
            contentId: this.#contentId.contentId,
            route: route.name,
            callerAddress,
            from: server.id,
            server: state,
            tookMs: Math.round(tookMs),
            checkedMs: Math.round(clock.monotonicMs() - lostAtMs),
        });
    }
}
