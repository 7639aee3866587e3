import { type HistoryLine, type Violation } from "./events.js";

/** Bounds of a planned stop, in milliseconds. */
export interface PlannedStopBounds {
    /** Time from the signal until the process is killed. */
    readonly graceMs: number;
    /** Time after a request's last byte within which its connection may end without a response. */
    readonly lossSlackMs: number;
    /** Time after the end of the grace period until which a lost request still counts as lost by the stop. */
    readonly afterGraceMs: number;
    /** Requests sent this long after the signal may be broken off in the last sixth of the grace period. */
    readonly excusableSentMs: number;
    /** Timeout of all routes; a request that is older was not lost by the stop. */
    readonly routeTimeoutMs: number;
}

type Line<Type extends HistoryLine["type"]> = Extract<HistoryLine, { readonly type: Type; }>;

/** What the history says about one request. */
interface RequestLines {
    readonly sent: Line<"callerSent">;
    end: Line<"callerAnswered" | "callerCutOff"> | undefined;
    readonly arrivals: Line<"serverStarted" | "serverTurnedAway">[];
    /** When each server finished its work. */
    readonly finishedAtMs: Map<string, number>;
    /** Whether a server failed to respond on its own account. */
    isServerFault: boolean;
}

/** Share of the grace period after which a server that is still at work excuses a missing response. */
const lastSixth = 5 / 6;

/**
 * Checks that a planned stop loses no request: whatever a gateway passed on to a server is answered by that server, and
 * what it read and didn't pass on is answered or its connection ends at once. A request that was sent behind another one
 * on its connection and wasn't passed on is excused, as is one at which a server was still at work in the last sixth of
 * the grace period.
 *
 * @param history - all lines of a run, ordered by time
 * @param bounds - bounds of the stop
 * @returns violations; empty if the invariant held
 */
export function checkPlannedStops(
    history: readonly HistoryLine[],
    bounds: PlannedStopBounds,
): readonly Violation[] {
    const stops = history.filter(line => line.type === "gatewayStopping");
    const violations: Violation[] = [];
    for (const request of collectRequests(history)) {
        const { sent, end } = request;
        const stop = stops.findLast(({ gateway, atMs }) => gateway === sent.gateway && atMs <= (end?.atMs ?? 0));
        if (end === undefined || stop === undefined) {
            continue;
        }
        const loss = findLoss(request, end, stop.atMs, bounds);
        if (loss !== undefined) {
            violations.push({
                invariant: "plannedStop",
                detail: `${sent.requestId} ${loss}, ${Math.round(end.atMs - stop.atMs)} ms after ${stop.gateway} was `
                    + `told to stop, sent ${Math.round(sent.atMs - stop.atMs)} ms after it`,
                lines: [stop.sequence, sent.sequence, end.sequence],
            });
        }
    }
    return violations;
}

function collectRequests(history: readonly HistoryLine[]): Iterable<RequestLines> {
    const requests = new Map<string, RequestLines>();
    const startedByServer = new Map<string, RequestLines[]>();
    for (const line of history) {
        if (line.type === "callerSent") {
            requests.set(line.requestId, {
                sent: line,
                end: undefined,
                arrivals: [],
                finishedAtMs: new Map(),
                isServerFault: false,
            });
        }
        if (line.type === "serverExited") {
            for (const request of startedByServer.get(line.server) ?? []) {
                request.isServerFault ||= !request.finishedAtMs.has(line.server);
            }
        }
        const request = "requestId" in line ? requests.get(line.requestId) : undefined;
        if (request === undefined) {
            continue;
        }
        switch (line.type) {
            case "callerAnswered":
            case "callerCutOff":
                request.end ??= line;
                break;
            case "serverStarted":
                startedByServer.set(line.server, [...startedByServer.get(line.server) ?? [], request]);
                request.arrivals.push(line);
                break;
            case "serverTurnedAway":
                request.arrivals.push(line);
                break;
            case "serverEnded":
                if (line.completed !== false) {
                    request.finishedAtMs.set(line.server, line.atMs);
                }
                break;
            case "serverSpoilt":
            case "serverCrashed":
                request.isServerFault = true;
        }
    }
    return requests.values();
}

/** @returns how the stop lost the request; `undefined` if it didn't */
function findLoss(
    { sent, arrivals, finishedAtMs, isServerFault }: RequestLines,
    end: Line<"callerAnswered" | "callerCutOff">,
    stoppedAtMs: number,
    bounds: PlannedStopBounds,
): string | undefined {
    const { graceMs, lossSlackMs, afterGraceMs, excusableSentMs, routeTimeoutMs } = bounds;
    const tookMs = end.atMs - sent.atMs;
    if (end.atMs > stoppedAtMs + graceMs + afterGraceMs || isServerFault) {
        return undefined;
    }
    if (tookMs >= Math.min(sent.patienceMs, routeTimeoutMs)) {
        return undefined;
    }
    const started = arrivals.filter(line => line.type === "serverStarted" && line.atMs < end.atMs);
    const lastSixthFromMs = stoppedAtMs + graceMs * lastSixth;
    const isAtWork = started.some(({ server }) => !finishedAtMs.has(server));
    const wasAtWorkLate = started.some(({ server }) => (finishedAtMs.get(server) ?? Infinity) >= lastSixthFromMs);
    if (wasAtWorkLate && end.atMs >= lastSixthFromMs && sent.atMs <= stoppedAtMs + excusableSentMs) {
        return undefined;
    }
    if (end.type === "callerAnswered") {
        // Only a response of the gateway's own has no server's body.
        return end.bodyRequestId === undefined && started.length > 0
            ? `got status ${end.status} from the gateway while a server ${isAtWork ? "was at work" : "had finished"}`
            : undefined;
    }
    if (arrivals.length > 0) {
        return "was passed on, but its connection ended without a complete response";
    }
    // A reset shows that the request was still unread, or that its connection was never accepted.
    return sent.behind !== true && end.reset !== true && tookMs > lossSlackMs
        ? "was read, but its connection ended without a response"
        : undefined;
}
