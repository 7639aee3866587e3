import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that a backend server gets no new work once the store has taken the word that it is leaving or gone and every
 * gateway has had the time to hear it.
 *
 * @param history - every line of a run, in the order of its times
 * @param graceMs - from the store's word on
 * @returns what was found against it; empty where the invariant held
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
