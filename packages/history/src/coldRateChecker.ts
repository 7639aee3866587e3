import { type HistoryLine, type Violation } from "./events.js";

const windowMs = 1_000;

/**
 * Checks that all gateways together send no cold backend server more requests per second than allowed. Requests that
 * the server rejected count as well, since they reached it.
 *
 * @param history - every line of a run, ordered by time
 * @param limit - maximum requests to a cold server in any one second
 * @returns violations; empty if the invariant held
 */
export function checkColdRate(history: readonly HistoryLine[], limit: number): readonly Violation[] {
    const recent = new Map<string, HistoryLine[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        if ((line.type !== "serverStarted" && line.type !== "serverTurnedAway") || !line.cold) {
            continue;
        }
        const lines = (recent.get(line.server) ?? []).filter(({ atMs }) => line.atMs - atMs < windowMs);
        lines.push(line);
        recent.set(line.server, lines);
        if (lines.length > limit) {
            violations.push({
                invariant: "coldRate",
                detail: `${line.server} got ${lines.length} requests in one second while cold`,
                lines: lines.map(({ sequence }) => sequence),
            });
        }
    }
    return violations;
}
