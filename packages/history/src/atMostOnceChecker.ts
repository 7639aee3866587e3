import { type HistoryLine, type Violation } from "./events.js";

type Started = Extract<HistoryLine, { readonly type: "serverStarted"; }>;

/**
 * Checks that a non-idempotent request runs at most once: no such request starts twice, and no idempotency key starts
 * twice, even under different request ids.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkAtMostOnce(history: readonly HistoryLine[]): readonly Violation[] {
    const nonIdempotent = new Set<string>();
    for (const line of history) {
        if (line.type === "callerSent" && !line.idempotent) {
            nonIdempotent.add(line.requestId);
        }
    }
    const firstStart = new Map<string, Started>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "serverStarted" || !nonIdempotent.has(line.requestId)) {
            continue;
        }
        for (const identity of listIdentities(line)) {
            const first = firstStart.get(identity);
            if (first === undefined) {
                firstStart.set(identity, line);
                continue;
            }
            violations.push({
                invariant: "atMostOnce",
                detail: `${identity} started on ${first.server} and again on ${line.server}`,
                lines: [first.sequence, line.sequence],
            });
        }
    }
    return violations;
}

function listIdentities(line: Started): readonly string[] {
    const request = `request ${line.requestId}`;
    return line.idempotencyKey === undefined ? [request] : [request, `idempotency key ${line.idempotencyKey}`];
}
