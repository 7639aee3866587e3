import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type LimitSource, type PlacementState } from "@galenaglade/placement";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type ResponseMetadata } from "../metadataCodec.js";

/** Dependencies of a {@link ResponseMetadataRecorder}. */
export interface ResponseMetadataRecorderDeps {
    readonly placementState: PlacementState;
    readonly connections: ServerConnectionPool;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** What a server's response states about the server itself. */
export interface ServerResponseMetadata {
    readonly server: RegisteredServer;
    readonly metadata: ResponseMetadata;
    readonly source: LimitSource;
    /** Id of the request that the response belongs to; `undefined` for a load probe. */
    readonly requestId?: string | undefined;
    readonly nowMs: number;
}

/** Unknown header names that are logged, each once. Bounded, so that servers can't fill the memory with names. */
const maxLoggedUnknownHeaders = 50;

/**
 * Records the metadata that servers send with their responses, both to requests and to load probes: updates the
 * placement state, logs changes and counts them.
 */
export class ResponseMetadataRecorder {
    readonly #deps: ResponseMetadataRecorderDeps;
    readonly #loggedUnknownHeaders = new Set<string>();

    constructor(deps: ResponseMetadataRecorderDeps) {
        this.#deps = deps;
    }

    record(response: ServerResponseMetadata): void {
        this.#recordLimit(response);
        this.#recordBackoff(response);
        this.#recordLeaving(response);
        this.#recordUnknownHeaders(response);
    }

    #recordLimit(response: ServerResponseMetadata): void {
        const { server, metadata: { limit, signed }, source, nowMs } = response;
        const { placementState, log, metrics } = this.#deps;
        if (limit.type === "malformed") {
            metrics.onServerLimit(server.service, "malformed");
            log.log("warn", "serverLimit", { ...createLogFields(response), change: "malformed", text: limit.text });
            return;
        }
        // A response to a request lifts the limit by its absence only if the server signed the response.
        if (limit.type === "none" && source.answered === "request" && !signed) {
            return;
        }
        const change = placementState.onLimit(server, limit, source, nowMs);
        if (change !== undefined) {
            const { type, ...details } = change;
            metrics.onServerLimit(server.service, type);
            log.log("info", "serverLimit", { ...createLogFields(response), change: type, ...details });
        }
    }

    #recordBackoff(response: ServerResponseMetadata): void {
        const { server, metadata: { backoff }, nowMs } = response;
        const { placementState, log, metrics } = this.#deps;
        if (backoff.type === "none") {
            return;
        }
        metrics.onServerNotice(server.service, backoff.type === "asked" ? "rest" : "malformedRest");
        if (backoff.type === "malformed") {
            log.log("warn", "serverRest", { ...createLogFields(response), change: "malformed", text: backoff.text });
            return;
        }
        const untilMs = placementState.onBackoff(server, backoff.forMs, nowMs);
        log.log("info", "serverRest", {
            ...createLogFields(response),
            change: untilMs === undefined ? "none" : "resting",
            forMs: backoff.forMs,
        });
    }

    #recordLeaving(response: ServerResponseMetadata): void {
        const { server, metadata } = response;
        const { placementState, connections, log, metrics } = this.#deps;
        if (!metadata.leaving) {
            return;
        }
        metrics.onServerNotice(server.service, "leaving");
        connections.closeIdle(server.id);
        if (placementState.onLeaving(server)) {
            log.log("info", "serverLeaving", createLogFields(response));
        }
    }

    #recordUnknownHeaders(response: ServerResponseMetadata): void {
        for (const header of response.metadata.unknownHeaders) {
            this.#deps.metrics.onServerNotice(response.server.service, "unknownHeader");
            if (!this.#loggedUnknownHeaders.has(header) && this.#loggedUnknownHeaders.size < maxLoggedUnknownHeaders) {
                this.#loggedUnknownHeaders.add(header);
                this.#deps.log.log("warn", "unknownHeader", { ...createLogFields(response), header });
            }
        }
    }
}

function createLogFields(
    { requestId, source, server }: ServerResponseMetadata,
): Readonly<Record<string, string | undefined>> {
    return { requestId, answered: source.answered, service: server.service, server: server.id };
}
