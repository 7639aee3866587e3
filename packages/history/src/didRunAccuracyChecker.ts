import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that the `didRun` field of responses is accurate: no server starts a request reported as `no`, neither before
 * nor after the response, and some server started every request reported as `yes`.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkDidRunAccuracy(history: readonly HistoryLine[]): readonly Violation[] {
    const starts = new Map<string, number>();
    const startedKeys = new Set<string>();
    const keyOf = new Map<string, string>();
    for (const line of history) {
        if (line.type === "serverStarted") {
            starts.set(line.requestId, starts.get(line.requestId) ?? line.sequence);
            startedKeys.add(line.idempotencyKey ?? "");
        }
        else if (line.type === "callerSent" && line.idempotencyKey !== undefined) {
            keyOf.set(line.requestId, line.idempotencyKey);
        }
    }
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "callerAnswered") {
            continue;
        }
        const start = starts.get(line.requestId);
        const key = keyOf.get(line.requestId);
        if (line.didRun === "no" && start !== undefined) {
            violations.push({
                invariant: "truthfulDidRun",
                detail: `${line.requestId} was reported as not run, and a server started it`,
                lines: [start, line.sequence],
            });
        }
        if (line.didRun === "yes" && start === undefined && (key === undefined || !startedKeys.has(key))) {
            violations.push({
                invariant: "truthfulDidRun",
                detail: `${line.requestId} was reported as run, and no server started it`,
                lines: [line.sequence],
            });
        }
    }
    return violations;
}
