import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type LimitSource, type PlacementState } from "@galenaglade/placement";
import { type ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";
import { type ResponseMetadata } from "../metadataCodec.js";

/** What notes are taken with. */
export interface ResponseMetadataRecorderDeps {
    readonly board: PlacementState;
    readonly connections: ServerConnectionPool;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** An answer of a server, as far as it speaks of the server itself. */
export interface ServerResponseMetadata {
    readonly server: RegisteredServer;
    readonly metadata: ResponseMetadata;
    readonly source: LimitSource;
    /** The request that was answered. */
    readonly requestId?: string | undefined;
    readonly nowMs: number;
}

/** Names of headers that nobody understands, of which each is logged once. */
const mostUnknownNames = 50;

/**
 * Reads what servers say of themselves in their answers, in one place for answers to requests and to questions: lets the board know, and
 * logs what changes.
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
        // Of answers to requests, only one with the server's proof says by its silence that there is no limit any more.
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
