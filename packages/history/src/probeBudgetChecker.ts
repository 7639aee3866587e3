import { type HistoryLine, type Violation } from "./events.js";

/** Limit of the load probes to one backend server, from all gateways together. */
export interface ProbeBudgetBounds {
    readonly probesPerSecond: number;
    /** Number of gateways that may probe a server at the same time. */
    readonly seats: number;
}

/**
 * Checks that no server is probed more often than its budget allows. No half-open window of `seats / probesPerSecond`
 * seconds, wherever it starts, may contain more than `seats` probes of one server, which is exactly the budget times
 * the window's length.
 *
 * @param history - every line of a run
 * @param budget - the budget of every server
 * @returns violations; empty if the invariant held
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
