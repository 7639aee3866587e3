import { type HistoryLine, type Violation } from "./events.js";
import { PropagationWindow } from "./propagationWindow.js";

/**
 * Checks that a server that is leaving receives no new requests once the change has propagated: `contactLimitMs` after
 * a gateway that learned of it has completed a heartbeat round with a majority.
 *
 * @param history - every line of a run
 * @param contactLimitMs - how long a gateway sends without contact to a majority, plus the transit time of a request,
 *   in milliseconds
 * @returns violations; empty if the invariant held
 */
export function checkServerLeaving(history: readonly HistoryLine[], contactLimitMs: number): readonly Violation[] {
    const windows = new Map<string, PropagationWindow>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "serverLeaving") {
            windows.set(line.server, new PropagationWindow(contactLimitMs));
        }
        else if (line.type === "leavingHeard") {
            windows.get(line.server)?.onReceived(line.gateway, line.atMs);
        }
        else if (line.type === "majorityRound") {
            for (const window of windows.values()) {
                window.onMajorityRound(line);
            }
        }
        else if (line.type === "serverStarted") {
            const window = windows.get(line.server);
            if (window !== undefined && line.atMs > window.endsAtMs) {
                const detail = `${line.server} got a new request at ${line.atMs} ms while leaving`;
                violations.push({ invariant: "serverLeaving", detail, lines: [line.sequence] });
            }
        }
    }
    return violations;
}
