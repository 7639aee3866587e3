import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { type Failure } from "@galenaglade/errors";
import { type RequestBody } from "@galenaglade/http-parts";
import { type SendEnd } from "@galenaglade/placement";
import { type LogFields } from "@galenaglade/telemetry";
import { type ResponseHead, type ResponseSink } from "../backends/sendRequest.js";
import { type ServerConnection } from "../backends/serverConnection.js";
import { maxBufferedResponseBytes, maxHandoverAttempts } from "../constants.js";
import { type EdgeRequest } from "../requests/edgeRequest.js";
import { describeSendEnd } from "../requests/describeSendEnd.js";
import { reportIncompleteResponse } from "../requests/reportIncompleteResponse.js";
import { type ExchangeDeps } from "../requests/exchangeDeps.js";
import { type HandoverMetadata } from "./handoverMessages.js";
import { type Handover, handOver, type HandoverResult } from "./handoverSend.js";

/** Inputs of an {@link ExchangeHandover}. */
export interface ExchangeHandoverInput {
    readonly deps: ExchangeDeps;
    readonly request: EdgeRequest;
    readonly body: RequestBody;
    readonly mayWrite: () => boolean;
    /** Called once the first byte is being written. */
    readonly onWritten: () => void;
    readonly openSink: (head: ResponseHead) => ResponseSink | undefined;
}

/** A handover in flight. */
export interface StartedHandover {
    readonly handover: Handover;
    readonly result: Promise<HandoverResult>;
}

/** Hands one request over to other gateways while this host can't reach the servers of its service. */
export class ExchangeHandover {
    readonly #input: ExchangeHandoverInput;
    readonly #tried = new Set<string>();
    #extraRuns = 0;
    #failure: Failure | undefined;

    constructor(input: ExchangeHandoverInput) {
        this.#input = input;
    }

    /** Whether the request may be handed over. One that came from another gateway is never handed on. */
    get isAllowed(): boolean {
        const { handedOverBy, rules } = this.#input.request;
        const { view } = this.#input.deps;
        return handedOverBy === undefined && this.#tried.size < maxHandoverAttempts
            && view.configurationInForce?.services.has(rules.name) === true;
    }

    /** Whether the request was handed over at least once. */
    get wasTried(): boolean {
        return this.#tried.size > 0;
    }

    /** Failure that the last gateway reported, if it tried and got no server's response. */
    get failure(): Failure | undefined {
        return this.#failure;
    }

    /** Runs that were allowed to other gateways beyond the one that each handover counts as. */
    get extraRuns(): number {
        return this.#extraRuns;
    }

    /** @returns a gateway that has not had the request yet; `undefined` if there is none */
    chooseGateway(): RegisteredGateway | undefined {
        const { deps, request } = this.#input;
        return this.isAllowed ? deps.reachability.chooseHandoverTarget(request.rules.name, this.#tried) : undefined;
    }

    describe(): LogFields {
        return { handedTo: this.wasTried ? [...this.#tried].join(",") : undefined };
    }

    /**
     * Hands the request over.
     *
     * @param gateway - gateway that gets it
     * @param runsLeft - number of servers on which the request may still run
     */
    start(gateway: RegisteredGateway, runsLeft: number): StartedHandover {
        const { deps, request, body, mayWrite, onWritten, openSink } = this.#input;
        const { peerConnections, metadataCodec, reachability } = deps;
        const { route, requestId, method, headers } = request;
        this.#tried.add(gateway.name);
        // One run is kept in reserve for a retry, in case the connection to that gateway is lost.
        const runs = route.idempotent ? Math.max(1, runsLeft - 1) : Math.max(1, runsLeft);
        this.#extraRuns += runs - 1;
        const endTracking = reachability.handoverTargets.trackRequest(gateway.name);
        const connection = route.idempotent
            ? peerConnections.acquire(gateway.name, gateway.peerAddress)
            : peerConnections.open(gateway.peerAddress);
        const handover = handOver({
            connection,
            metadata: this.#createMetadata(runs),
            method,
            headers,
            body,
            idempotent: route.idempotent,
            requestId,
            metadataReader: metadataCodec,
            maxBufferedBytes: maxBufferedResponseBytes,
            mayWrite,
            onWritten,
            openSink,
        });
        const result = handover.result.then(ended => {
            endTracking();
            this.#onEnded(gateway, connection, runs, ended);
            return ended;
        });
        return { handover, result };
    }

    #createMetadata(runs: number): HandoverMetadata {
        const { deps: { name, clock, view, configVersionWatermark }, request } = this.#input;
        const { url, rules, arrivedAtMs, cutoffMs, callerAddress } = request;
        const nowMs = clock.monotonicMs();
        return {
            from: name,
            target: url,
            service: rules.name,
            // Once callers were served by one configuration version, they must not be served by an older one.
            version: configVersionWatermark.max(view.configurationInForce?.configuration.version ?? 0),
            ageMs: Math.max(0, nowMs - arrivedAtMs),
            remainingMs: cutoffMs - nowMs,
            runs,
            caller: callerAddress,
            framesBodies: true,
        };
    }

    #onEnded(gateway: RegisteredGateway, connection: ServerConnection, runs: number, ended: HandoverResult): void {
        const { peerConnections, clock, log, metrics, configVersionWatermark } = this.#input.deps;
        const { requestId, rules: { name: service } } = this.#input.request;
        const nowMs = clock.monotonicMs();
        const { end, outcome, failure } = ended;
        const isBroken = end.type === "unknown" && outcome?.type === "answered";
        if (isBroken || (outcome === undefined && end.type !== "notRun")) {
            connection.destroy();
        }
        else {
            peerConnections.release(gateway.name, connection, { after: "request", nowMs });
        }
        if (end.type === "notRun") {
            this.#extraRuns -= runs - 1;
        }
        if (outcome?.type === "answered") {
            configVersionWatermark.advance(outcome.version);
            this.#recordMetadata(outcome.server, ended, nowMs);
        }
        this.#failure = failure ?? this.#failure;
        this.#updateReachability(gateway.name, ended, nowMs);
        reportIncompleteResponse(this.#input.deps, this.#input.request, gateway.name, ended);
        const label = describeOutcome(ended);
        metrics.onHandedOver(service, label);
        log.log("info", "handedOver", {
            requestId,
            service,
            to: gateway.name,
            end: label,
            tookMs: Math.round(ended.tookMs),
        });
    }

    /** Records the server's metadata (limits, back-off, shutdown) in a response that came through another gateway. */
    #recordMetadata(serverId: string | undefined, { metadata, tookMs }: HandoverResult, nowMs: number): void {
        const { metadataRecorder, view } = this.#input.deps;
        const { requestId, rules } = this.#input.request;
        const server = view.readyServers(rules.name, nowMs).find(({ id }) => id === serverId);
        if (server !== undefined && metadata !== undefined) {
            metadataRecorder.record({
                server,
                metadata,
                source: { answered: "request", sentAtMs: nowMs - tookMs },
                requestId,
                nowMs,
            });
        }
    }

    /** Updates whether that gateway reaches the service, from the result of the handover. */
    #updateReachability(gateway: string, { end, outcome }: HandoverResult, nowMs: number): void {
        const { reachability: { handoverTargets } } = this.#input.deps;
        const service = this.#input.request.rules.name;
        if (outcome === undefined) {
            if (end.type !== "abandoned") {
                handoverTargets.onUnresponsive(gateway, nowMs);
            }
            return;
        }
        switch (outcome.type) {
            case "answered":
                handoverTargets.onReachability(service, gateway, true, nowMs);
                break;
            case "refused":
                if (outcome.reason !== "busy") {
                    handoverTargets.onReachability(service, gateway, false, nowMs);
                }
                handoverTargets.onSuggested(service, outcome.named, nowMs);
                break;
            case "failed":
                if (outcome.unreached) {
                    handoverTargets.onReachability(service, gateway, false, nowMs);
                }
        }
    }
}

/** @returns whether no server got the request, so that another handover doesn't count as a retry */
export function hasReachedNoServer({ end, outcome }: HandoverResult): boolean {
    return end.type === "notRun" && (outcome?.type !== "failed" || !outcome.reachedServer);
}

function describeOutcome(
    { end, outcome }: { readonly end: SendEnd; readonly outcome: HandoverResult["outcome"]; },
): string {
    switch (outcome?.type) {
        case "refused":
            return `refused: ${outcome.reason}`;
        case "failed":
            return `failed: ${outcome.kind}`;
        default:
            return describeSendEnd(end);
    }
}
