import { type HistoryLine, type Violation } from "./events.js";

/** What a server that wants rest may get from a gateway that it has told. */
export interface ServerBackoffBounds {
    /** Time for what is on its way, from the answer on, in milliseconds. */
    readonly inFlightGraceMs: number;
    /** Requests from then to the end of the rest. */
    readonly maxRequests: number;
}

interface Rest {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly arrivals: number[];
}

/**
 * Checks that a gateway which a server has asked for rest leaves it alone until the end of that time.
 *
 * @param history - every line of a run, in the order of its times; callers' requests name their gateways
 * @param bounds - what such a server may get all the same
 * @returns what was found against it; empty where the invariant held
 */
export function checkServerBackoff(history: readonly HistoryLine[], bounds: ServerBackoffBounds): readonly Violation[] {
    const gatewayOf = new Map<string, string>();
    const rests = new Map<string, Rest[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            gatewayOf.set(line.requestId, gatewayLifeOf(line));
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        const key = `${line.server} ${gatewayOf.get(line.requestId) ?? ""}`;
        for (const rest of rests.get(key) ?? []) {
            if (line.atMs <= rest.fromMs || line.atMs >= rest.untilMs) {
                continue;
            }
            rest.arrivals.push(line.sequence);
            if (rest.arrivals.length > bounds.maxRequests) {
                const detail = `${key} got ${rest.arrivals.length} requests in a time for which the server wanted none`;
                violations.push({ invariant: "serverRest", detail, lines: [...rest.arrivals] });
            }
        }
        if (line.type === "serverTurnedAway" && line.restMs !== undefined) {
            const rest = { fromMs: line.atMs + bounds.inFlightGraceMs, untilMs: line.atMs + line.restMs, arrivals: [] };
            rests.set(key, [...rests.get(key) ?? [], rest]);
        }
    }
    return violations;
}

/**
 * Checks that a gateway which has passed on an answer in which a server says that it leaves gives it no new work.
 *
 * @param history - every line of a run, in the order of its times; callers' requests name their gateways
 * @param graceMs - from that answer on, until the last request that may be given to it was sent by its caller
 * @returns what was found against it; empty where the invariant held
 */
export function checkLeavingRespected(history: readonly HistoryLine[], graceMs: number): readonly Violation[] {
    const sent = new Map<string, { readonly gateway: string; readonly atMs: number; }>();
    const heard = new Map<string, HistoryLine>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            sent.set(line.requestId, { gateway: gatewayLifeOf(line), atMs: line.atMs });
        }
        if (line.type === "leavingPassedOn") {
            const key = `${line.server} ${gatewayLifeOf(line)}`;
            heard.set(key, heard.get(key) ?? line);
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        const request = sent.get(line.requestId);
        const since = heard.get(`${line.server} ${request?.gateway ?? ""}`);
        if (request !== undefined && since !== undefined && request.atMs > since.atMs + graceMs) {
            violations.push({
                invariant: "leavingHeeded",
                detail: `${line.server} got a request that ${request.gateway} was sent ${
                    Math.round(request.atMs - since.atMs)
                } ms after it had heard that the server leaves`,
                lines: [since.sequence, line.sequence],
            });
        }
    }
    return violations;
}

/** A gateway that was started again has heard nothing: callers' lines are recorded under its life. */
function gatewayLifeOf({ process, gateway = "" }: HistoryLine & { readonly gateway?: string | undefined; }): string {
    return `${gateway} ${process}`;
}
