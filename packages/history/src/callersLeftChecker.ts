import { type HistoryLine, type Violation } from "./events.js";

/** Bounds of what may still be done for a caller that has left. */
export interface CallersLeftBounds {
    /** Time after a caller has left by which all that was done for it has to be over, in milliseconds. */
    readonly settleMs: number;
    /** @returns whether no fault excuses the gateways in a period */
    readonly isCalm: (fromMs: number, toMs: number) => boolean;
}

/** What the history says about one request whose caller has left. */
interface LeftRequest {
    readonly leftAtMs: number;
    readonly idempotent: boolean;
}

/**
 * Checks that no server begins a request long after its caller has left, and that none completes an idempotent one. What
 * is not idempotent goes on, so that it doesn't stay unknown whether it ran.
 *
 * @param history - all lines of a run, ordered by time
 * @param bounds - the time allowed
 * @returns violations; empty if the invariant held
 */
export function checkCallersLeft(
    history: readonly HistoryLine[],
    { settleMs, isCalm }: CallersLeftBounds,
): readonly Violation[] {
    const left = collectLeftRequests(history);
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "serverStarted" && line.type !== "serverEnded") {
            continue;
        }
        const request = left.get(line.requestId);
        const isExcused = request === undefined || line.atMs <= request.leftAtMs + settleMs
            || !isCalm(request.leftAtMs, line.atMs);
        if (isExcused) {
            continue;
        }
        const laterMs = Math.round(line.atMs - request.leftAtMs);
        if (line.type === "serverStarted") {
            violations.push(describe(`${line.requestId} reached ${line.server} ${laterMs} ms after`, line.sequence));
        }
        else if (request.idempotent && line.completed === true) {
            violations.push(
                describe(`${line.server} worked on ${line.requestId} until ${laterMs} ms after`, line.sequence),
            );
        }
    }
    return violations;
}

function collectLeftRequests(history: readonly HistoryLine[]): ReadonlyMap<string, LeftRequest> {
    const idempotent = new Map<string, boolean>();
    const left = new Map<string, LeftRequest>();
    for (const line of history) {
        if (line.type === "callerSent") {
            idempotent.set(line.requestId, line.idempotent);
        }
        else if (line.type === "callerLeft") {
            left.set(line.requestId, { leftAtMs: line.atMs, idempotent: idempotent.get(line.requestId) ?? false });
        }
    }
    return left;
}

function describe(what: string, line: number): Violation {
    return { invariant: "callersLeft", detail: `${what} its caller had left`, lines: [line] };
}
