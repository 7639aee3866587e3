import { type HistoryLine, type Violation } from "./events.js";

/** Retries and hedges that all gateways together may send for one service. */
export interface RepeatBudgetBounds {
    /** Repeats allowed per request of the callers. */
    readonly ratio: number;
    /** Fixed number of repeats allowed in any one window in addition. */
    readonly slack: number;
    readonly windowMs: number;
}

interface Arrivals {
    readonly sentAtMs: number[];
    readonly repeats: HistoryLine[];
}

/**
 * Checks that all gateways together stay within the budget for repeats in any one window. Every arrival of a request at
 * a backend server after its first counts as a repeat, including arrivals that the server rejected. The requests that
 * the ratio applies to are those of the window or of the one before, whichever has more, so that falling load doesn't
 * turn repeats of earlier requests into a violation.
 *
 * @param history - every line of a run, ordered by time
 * @param bounds - the budget
 * @returns violations; empty if the invariant held
 */
export function checkRepeatBudget(history: readonly HistoryLine[], bounds: RepeatBudgetBounds): readonly Violation[] {
    const serviceOf = new Map<string, string>();
    const arrived = new Set<string>();
    const services = new Map<string, Arrivals>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerSent") {
            serviceOf.set(line.requestId, line.service);
            const arrivals = services.get(line.service) ?? { sentAtMs: [], repeats: [] };
            services.set(line.service, arrivals);
            arrivals.sentAtMs.push(line.atMs);
            continue;
        }
        if (line.type !== "serverStarted" && line.type !== "serverTurnedAway") {
            continue;
        }
        if (!arrived.has(line.requestId)) {
            arrived.add(line.requestId);
            continue;
        }
        const service = serviceOf.get(line.requestId) ?? "";
        const arrivals = services.get(service);
        if (arrivals === undefined) {
            continue;
        }
        arrivals.repeats.push(line);
        const repeats = arrivals.repeats.filter(({ atMs }) => line.atMs - atMs < bounds.windowMs);
        const limit = countRequests(arrivals.sentAtMs, line.atMs, bounds.windowMs) * bounds.ratio + bounds.slack;
        if (repeats.length > limit) {
            violations.push({
                invariant: "repeatBudget",
                detail: `${service} got ${repeats.length} repeats in one window, ${Math.floor(limit)} are allowed`,
                lines: repeats.map(({ sequence }) => sequence),
            });
        }
    }
    return violations;
}

function countRequests(sentAtMs: readonly number[], nowMs: number, windowMs: number): number {
    const inWindow = sentAtMs.filter(atMs => nowMs - atMs < windowMs).length;
    const before = sentAtMs.filter(atMs => nowMs - atMs >= windowMs && nowMs - atMs < 2 * windowMs).length;
    return Math.max(inWindow, before);
}
