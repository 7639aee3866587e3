import { type HistoryLine, type Violation } from "./events.js";

/** How often a request that crashes servers may still reach them. */
export interface QueryOfDeathBounds {
    /** Number of crashes after which the request counts as a query of death. */
    readonly crashes: number;
    /** Time from the last of these crashes until every gateway must block the request, in milliseconds. */
    readonly settleMs: number;
    /** Maximum arrivals at servers after that. */
    readonly retries: number;
}

interface Content {
    readonly crashedAtMs: number[];
    readonly lateArrivals: HistoryLine[];
}

/**
 * Checks that a request that crashes servers no longer reaches them after a number of crashes, however often callers
 * repeat it and through whichever gateway.
 *
 * @param history - every line of a run, ordered by time
 * @param bounds - how often the request may still reach servers
 * @returns violations; empty if the invariant held
 */
export function checkQueryOfDeath(history: readonly HistoryLine[], bounds: QueryOfDeathBounds): readonly Violation[] {
    const contentOf = new Map<string, Content>();
    const contents = new Map<string, Content>();
    for (const line of history) {
        switch (line.type) {
            case "callerSent": {
                const key = line.contentId ?? line.requestId;
                const content = contents.get(key) ?? { crashedAtMs: [], lateArrivals: [] };
                contents.set(key, content);
                contentOf.set(line.requestId, content);
                break;
            }
            case "serverCrashed":
                contentOf.get(line.requestId)?.crashedAtMs.push(line.atMs);
                break;
            case "serverStarted":
            case "serverTurnedAway": {
                const content = contentOf.get(line.requestId);
                const knownAtMs = content?.crashedAtMs[bounds.crashes - 1];
                if (knownAtMs !== undefined && line.atMs > knownAtMs + bounds.settleMs) {
                    content?.lateArrivals.push(line);
                }
            }
        }
    }
    return [...contents].filter(([, { lateArrivals }]) => lateArrivals.length > bounds.retries).map(
        ([name, { lateArrivals, crashedAtMs }]) => ({
            invariant: "queryOfDeath",
            detail:
                `${name} reached servers ${lateArrivals.length} times too late; ${crashedAtMs.length} crashed in all`,
            lines: lateArrivals.map(({ sequence }) => sequence),
        }),
    );
}
