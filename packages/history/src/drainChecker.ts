import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that a backend server receives no new requests once the store has committed that it is leaving or removed, and
 * every gateway has had time to learn it.
 *
 * @param history - every line of a run, ordered by time
 * @param graceMs - time that gateways have from the commit on, in milliseconds
 * @returns violations; empty if the invariant held
 */
export function checkDrained(history: readonly HistoryLine[], graceMs: number): readonly Violation[] {
    const accepted = new Map<string, HistoryLine>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "drainAccepted") {
            accepted.set(line.server, accepted.get(line.server) ?? line);
            continue;
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        const since = accepted.get(line.server);
        if (since !== undefined && line.atMs > since.atMs + graceMs) {
            violations.push({
                invariant: "drained",
                detail: `${line.server} got a request ${Math.round(line.atMs - since.atMs)} ms after it began to leave`,
                lines: [since.sequence, line.sequence],
            });
        }
    }
    return violations;
}
