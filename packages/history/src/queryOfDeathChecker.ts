import { type HistoryLine, type Violation } from "./events.js";

/** What servers may still get of a request that crashes them. */
export interface QueryOfDeathBounds {
    /** Servers that such a request ends before it counts as one. */
    readonly crashes: number;
    /** Time from then on until every gateway must know, in milliseconds. */
    readonly settleMs: number;
    /** Arrivals at servers that are allowed after that. */
    readonly retries: number;
}

interface Content {
    readonly crashedAtMs: number[];
    readonly lateArrivals: HistoryLine[];
}

/**
 * Checks that a request which crashes the servers that run it is kept from servers once enough of them have ended, however often it
 * comes again and at whichever gateway.
 *
 * @param history - every line of a run, in the order of its times
 * @param bounds - what servers may still get
 * @returns what was found against it; empty where the invariant held
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
            detail: `${name} was sent to servers ${lateArrivals.length} times more; ${crashedAtMs.length} ended in all`,
            lines: lateArrivals.map(({ sequence }) => sequence),
        }),
    );
}
