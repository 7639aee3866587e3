import { type HistoryLine, type Violation } from "./events.js";

const oneSecondMs = 1_000;

/**
 * Checks that no cold backend server is given more requests in one second than it bears, from all gateways together.
 * Requests that it turned away count: they reached it.
 *
 * @param history - every line of a run, in the order of its times
 * @param limit - requests that it may be given in any one second
 * @returns what was found against it; empty where the invariant held
 */
export function checkColdRate(history: readonly HistoryLine[], limit: number): readonly Violation[] {
    const recent = new Map<string, HistoryLine[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        if ((line.type !== "serverStarted" && line.type !== "serverTurnedAway") || !line.cold) {
            continue;
        }
        const lines = (recent.get(line.server) ?? []).filter(({ atMs }) => line.atMs - atMs < oneSecondMs);
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
