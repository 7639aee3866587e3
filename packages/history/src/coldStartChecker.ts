import { type HistoryLine, type Violation } from "./events.js";
import { PropagationWindow } from "./propagationWindow.js";

/** What is allowed while a server's turn to cold is not yet known. */
export interface ColdStartBounds {
    /** How long a gateway sends without hearing from a majority, with the time a request takes to arrive. */
    readonly contactLimitMs: number;
    /** Most requests in flight at a server within the window, from all gateways together. */
    readonly inFlightInWindow: number;
}

/**
 * Checks that a cold server is never given more than it bears, by its own count of all that is in flight, whoever
 * sent it and whenever.
 *
 * Allowed, and nothing else: a server that was warm and turned cold without a word may be given up to
 * `inFlightInWindow` until the word has spread, which is `contactLimitMs` after a gateway that got an answer saying so
 * has had answers from a majority. A server that was never warm in the run has no such window.
 *
 * @param history - every line of a run
 * @param bounds - what is allowed in the window
 * @returns what was found against it; empty where the invariant held
 */
export function checkColdStart(history: readonly HistoryLine[], bounds: ColdStartBounds): readonly Violation[] {
    const windows = new Map<string, PropagationWindow>();
    const violations: Violation[] = [];
    for (const line of history) {
        switch (line.type) {
            case "serverTurnedCold":
                windows.set(line.server, new PropagationWindow(bounds.contactLimitMs));
                break;
            case "serverTurnedWarm":
                windows.delete(line.server);
                break;
            case "coldSignHeard":
                windows.get(line.server)?.onReceived(line.gateway, line.atMs);
                break;
            case "majorityRound":
                for (const window of windows.values()) {
                    window.onMajorityRound(line);
                }
                break;
            case "serverStarted":
                violations.push(...checkStart(line, windows.get(line.server), bounds));
                break;
        }
    }
    return violations;
}

function checkStart(
    line: Extract<HistoryLine, { readonly type: "serverStarted"; }>,
    window: PropagationWindow | undefined,
    bounds: ColdStartBounds,
): readonly Violation[] {
    const isInWindow = window !== undefined && line.atMs <= window.endsAtMs;
    const limit = isInWindow ? bounds.inFlightInWindow : line.bears;
    if (!line.cold || line.inFlight <= limit) {
        return [];
    }
    const detail = `${line.server} was given ${line.inFlight} at ${line.atMs} ms while it bore ${limit}`;
    return [{ invariant: "coldStart", detail, lines: [line.sequence] }];
}
