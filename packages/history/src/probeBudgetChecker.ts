import { type HistoryLine, type Violation } from "./events.js";

/** What measuring one backend server's load may cost, all gateways together. */
export interface ProbeBudgetBounds {
    readonly probesPerSecond: number;
    /** Gateways that may probe at the same time. */
    readonly seats: number;
}

/**
 * Checks that no server is probed more often than its budget. The window is `seats / probesPerSecond` seconds, half
 * open: no such stretch of time, wherever it begins, holds more than `seats` probes of one server, which is the budget
 * times the window exactly.
 *
 * @param history - every line of a run
 * @param budget - the budget of every server
 * @returns what was found against it; empty where the invariant held
 */
export function checkProbeBudget(history: readonly HistoryLine[], budget: ProbeBudgetBounds): readonly Violation[] {
    const windowMs = budget.seats * 1_000 / budget.probesPerSecond;
    const recent = new Map<string, HistoryLine[]>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "serverProbed") {
            continue;
        }
        const lines = (recent.get(line.server) ?? []).filter(earlier => line.atMs < earlier.atMs + windowMs);
        lines.push(line);
        recent.set(line.server, lines);
        if (lines.length > budget.seats) {
            violations.push({
                invariant: "probeBudget",
                detail: `${line.server} was probed ${lines.length} times within ${windowMs} ms up to ${line.atMs} ms`,
                lines: lines.map(each => each.sequence),
            });
        }
    }
    return violations;
}
