import { type HistoryLine, type Violation } from "./events.js";

/** What the whole fleet may repeat, a service. */
export interface RepeatBudgetBounds {
    /** Share of the requests that callers sent. */
    readonly ratio: number;
    /** Besides the share, in any one window. */
    readonly slack: number;
    readonly windowMs: number;
}

interface Arrivals {
    readonly sentAtMs: number[];
    readonly repeats: HistoryLine[];
}

/**
 * Checks that the fleet repeats no more than it may: in any one window, arrivals at backend servers beyond the first of
 * each request, those that a server turned away included. The requests are counted in the window or in the one before
 * it, whichever has more, so that a load that falls doesn't make yesterday's repeats too many.
 *
 * @param history - every line of a run, in the order of its times
 * @param bounds - what may be repeated
 * @returns what was found against it; empty where the invariant held
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
