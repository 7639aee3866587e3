import { type HistoryLine, type Violation } from "./events.js";

/** Requests that a gateway may still send to a server that asked it to back off. */
export interface ServerBackoffBounds {
    /** Time after the response in which requests in transit don't count, in milliseconds. */
    readonly inFlightGraceMs: number;
    /** Maximum requests from then until the back-off ends. */
    readonly maxRequests: number;
}

interface Backoff {
    readonly fromMs: number;
    readonly untilMs: number;
    readonly arrivals: number[];
}

/**
 * Checks that a gateway sends no requests to a server that asked it to back off until the back-off ends.
 *
 * @param history - every line of a run, ordered by time; `callerSent` lines must have a gateway
 * @param bounds - the exceptions allowed
 * @returns violations; empty if the invariant held
 */
export function checkServerBackoff(history: readonly HistoryLine[], bounds: ServerBackoffBounds): readonly Violation[] {
    const gatewayOf = new Map<string, string>();
    const backoffs = new Map<string, Backoff[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            gatewayOf.set(line.requestId, gatewayIncarnationOf(line));
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        const key = `${line.server} ${gatewayOf.get(line.requestId) ?? ""}`;
        for (const backoff of backoffs.get(key) ?? []) {
            if (line.atMs <= backoff.fromMs || line.atMs >= backoff.untilMs) {
                continue;
            }
            backoff.arrivals.push(line.sequence);
            if (backoff.arrivals.length > bounds.maxRequests) {
                const detail =
                    `${key} got ${backoff.arrivals.length} requests during a back-off that the server asked for`;
                violations.push({ invariant: "serverRest", detail, lines: [...backoff.arrivals] });
            }
        }
        if (line.type === "serverTurnedAway" && line.restMs !== undefined) {
            const backoff = {
                fromMs: line.atMs + bounds.inFlightGraceMs,
                untilMs: line.atMs + line.restMs,
                arrivals: [],
            };
            backoffs.set(key, [...backoffs.get(key) ?? [], backoff]);
        }
    }
    return violations;
}

/**
 * Checks that a gateway sends no new requests to a server after it has forwarded a response in which that server
 * announces its shutdown.
 *
 * @param history - every line of a run, ordered by time; `callerSent` lines must have a gateway
 * @param graceMs - requests that callers send within this time after the response may still reach the server, in ms
 * @returns violations; empty if the invariant held
 */
export function checkLeavingRespected(history: readonly HistoryLine[], graceMs: number): readonly Violation[] {
    const sent = new Map<string, { readonly gateway: string; readonly atMs: number; }>();
    const announcements = new Map<string, HistoryLine>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            sent.set(line.requestId, { gateway: gatewayIncarnationOf(line), atMs: line.atMs });
        }
        if (line.type === "leavingPassedOn") {
            const key = `${line.server} ${gatewayIncarnationOf(line)}`;
            announcements.set(key, announcements.get(key) ?? line);
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        const request = sent.get(line.requestId);
        const since = announcements.get(`${line.server} ${request?.gateway ?? ""}`);
        if (request !== undefined && since !== undefined && request.atMs > since.atMs + graceMs) {
            violations.push({
                invariant: "leavingHeeded",
                detail: `${line.server} got a request that was sent to ${request.gateway} ${
                    Math.round(request.atMs - since.atMs)
                } ms after the server had announced its shutdown to it`,
                lines: [since.sequence, line.sequence],
            });
        }
    }
    return violations;
}

/**
 * Identifies a gateway's process incarnation, since a restarted gateway has no knowledge of earlier responses. Callers'
 * lines name the incarnation as their `process`.
 */
function gatewayIncarnationOf(
    { process, gateway = "" }: HistoryLine & { readonly gateway?: string | undefined; },
): string {
    return `${gateway} ${process}`;
}
