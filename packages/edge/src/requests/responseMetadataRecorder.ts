import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type LimitSource, type PlacementState } from "@galenaglade/placement";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type ResponseMetadata } from "../metadataCodec.js";

/** Dependencies of a {@link ResponseMetadataRecorder}. */
export interface ResponseMetadataRecorderDeps {
    readonly board: PlacementState;
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
const mostUnknownNames = 50;

/**
 * Records the metadata that servers send with their responses, both to requests and to load probes: updates the
 * placement board, logs changes and counts them.
 */
export class ResponseMetadataRecorder {
    readonly #parts: ResponseMetadataRecorderDeps;
    readonly #unknownNames = new Set<string>();

    constructor(parts: ResponseMetadataRecorderDeps) {
        this.#parts = parts;
    }

    record(answer: ServerResponseMetadata): void {
        this.#noteLimit(answer);
        this.#noteRest(answer);
        this.#noteLeaving(answer);
        this.#noteUnknown(answer);
    }

    #noteLimit(answer: ServerResponseMetadata): void {
        const { server, metadata: { limit, signed }, source, nowMs } = answer;
        const { board, log, metrics } = this.#parts;
        if (limit.type === "malformed") {
            metrics.onServerLimit(server.service, "malformed");
            log.log("warn", "serverLimit", { ...describe(answer), change: "malformed", text: limit.text });
            return;
        }
        // A response to a request lifts the limit by its absence only if the server signed the response.
        if (limit.type === "none" && source.answered === "request" && !signed) {
            return;
        }
        const change = board.onLimit(server, limit, source, nowMs);
        if (change !== undefined) {
            const { type, ...more } = change;
            metrics.onServerLimit(server.service, type);
            log.log("info", "serverLimit", { ...describe(answer), change: type, ...more });
        }
    }

    #noteRest(answer: ServerResponseMetadata): void {
        const { server, metadata: { backoff }, nowMs } = answer;
        const { board, log, metrics } = this.#parts;
        if (backoff.type === "none") {
            return;
        }
        metrics.onServerNotice(server.service, backoff.type === "asked" ? "rest" : "malformedRest");
        if (backoff.type === "malformed") {
            log.log("warn", "serverRest", { ...describe(answer), change: "malformed", text: backoff.text });
            return;
        }
        const untilMs = board.onBackoff(server, backoff.forMs, nowMs);
        log.log("info", "serverRest", {
            ...describe(answer),
            change: untilMs === undefined ? "none" : "resting",
            forMs: backoff.forMs,
        });
    }

    #noteLeaving(answer: ServerResponseMetadata): void {
        const { server, metadata } = answer;
        const { board, connections, log, metrics } = this.#parts;
        if (!metadata.leaving) {
            return;
        }
        metrics.onServerNotice(server.service, "leaving");
        connections.closeIdle(server.id);
        if (board.onLeaving(server)) {
            log.log("info", "serverLeaving", describe(answer));
        }
    }

    #noteUnknown(answer: ServerResponseMetadata): void {
        for (const header of answer.metadata.unknownHeaders) {
            this.#parts.metrics.onServerNotice(answer.server.service, "unknownHeader");
            if (!this.#unknownNames.has(header) && this.#unknownNames.size < mostUnknownNames) {
                this.#unknownNames.add(header);
                this.#parts.log.log("warn", "unknownHeader", { ...describe(answer), header });
            }
        }
    }
}

function describe({ requestId, source, server }: ServerResponseMetadata): Readonly<Record<string, string | undefined>> {
    return { requestId, answered: source.answered, service: server.service, server: server.id };
}
