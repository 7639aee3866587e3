import { type HistoryLine, type Violation } from "./events.js";

interface ZoneOut {
    readonly atMs: number;
    readonly sequence: number;
}

/**
 * Checks that an availability zone that was taken out receives no new requests: from `graceMs` after the change was
 * accepted until an operator requests the zone back in, no backend server in it starts a request.
 *
 * @param history - every line of a run, ordered by time
 * @param graceMs - allowance for requests in transit when the change was accepted, in milliseconds; a few seconds by
 *   the requirements
 * @returns violations; empty if the invariant held
 */
export function checkZoneOut(history: readonly HistoryLine[], graceMs: number): readonly Violation[] {
    const zonesOut = new Map<string, ZoneOut>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "zoneOutAccepted") {
            zonesOut.set(line.availabilityZone, { atMs: line.atMs, sequence: line.sequence });
        }
        if (line.type === "zoneInRequested") {
            zonesOut.delete(line.availabilityZone);
        }
        if (line.type !== "serverStarted") {
            continue;
        }
        const since = zonesOut.get(line.availabilityZone);
        if (since !== undefined && line.atMs > since.atMs + graceMs) {
            const lateMs = Math.round(line.atMs - since.atMs);
            violations.push({
                invariant: "zoneOut",
                detail:
                    `${line.server} in ${line.availabilityZone} started a request ${lateMs} ms after it was taken out`,
                lines: [since.sequence, line.sequence],
            });
        }
    }
    return violations;
}
