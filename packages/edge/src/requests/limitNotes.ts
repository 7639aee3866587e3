import { type RegisteredServer } from "@galenaglade/fleet-state";
import { type LimitSource, type NamedLimit, type PlacementBoard } from "@galenaglade/placement";
import { type EdgeLog } from "../telemetry/edgeLog.js";
import { type EdgeMetrics } from "../telemetry/edgeMetrics.js";

/** What limits are noted with. */
export interface LimitNotesParts {
    readonly board: PlacementBoard;
    readonly log: EdgeLog;
    readonly metrics: EdgeMetrics;
}

/** An answer of a server, as far as its limit goes. */
export interface LimitAnswer {
    readonly server: RegisteredServer;
    readonly limit: NamedLimit;
    readonly source: LimitSource;
    /** The request that was answered. */
    readonly requestId?: string | undefined;
    readonly nowMs: number;
}

/** Lets the board know of limits that servers name, and logs what changes. */
export class LimitNotes {
    readonly #parts: LimitNotesParts;

    constructor(parts: LimitNotesParts) {
        this.#parts = parts;
    }

    note({ server, limit, source, requestId, nowMs }: LimitAnswer): void {
        const { board, log, metrics } = this.#parts;
        const fields = { requestId, answered: source.answered, service: server.service, server: server.id };
        if (limit.type === "malformed") {
            metrics.onServerLimit(server.service, "malformed");
            log.log("warn", "serverLimit", { ...fields, change: "malformed", text: limit.text });
            return;
        }
        const change = board.onLimit(server, limit, source, nowMs);
        if (change !== undefined) {
            const { type, ...more } = change;
            metrics.onServerLimit(server.service, type);
            log.log("info", "serverLimit", { ...fields, change: type, ...more });
        }
    }
}
