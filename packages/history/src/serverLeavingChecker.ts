import { type HistoryLine, type Violation } from "./events.js";
import { PropagationWindow } from "./propagationWindow.js";

/**
 * Checks that a server which has begun to leave gets no new work once the word has spread: `contactLimitMs` after a
 * gateway that heard it has had answers from a majority.
 *
 * @param history - every line of a run
 * @param contactLimitMs - how long a gateway sends without hearing from a majority, with the time a request takes
 * @returns what was found against it; empty where the invariant held
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
                const detail = `${line.server} was given new work at ${line.atMs} ms while leaving`;
                violations.push({ invariant: "serverLeaving", detail, lines: [line.sequence] });
            }
        }
    }
    return violations;
}
