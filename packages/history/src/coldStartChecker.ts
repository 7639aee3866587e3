import { type HistoryLine, type Violation } from "./events.js";
import { PropagationWindow } from "./propagationWindow.js";

/** Load that a server may receive while some gateways don't know yet that it has become cold. */
export interface ColdStartBounds {
    /** How long a gateway sends without contact to a majority, plus the transit time of a request, in milliseconds. */
    readonly contactLimitMs: number;
    /** Maximum requests in flight at a server within the window, from all gateways together. */
    readonly inFlightInWindow: number;
}

/**
 * Checks that a cold server never has more requests in flight than it can handle. The server's own count is used, which
 * includes requests of every gateway.
 *
 * The only exception: a server that was warm and became cold without an announcement may have up to `inFlightInWindow`
 * requests until the change has propagated. That is `contactLimitMs` after a gateway that received a response reporting
 * the change has completed a heartbeat round with a majority. A server that was never warm in the run has no such
 * exception.
 *
 * @param history - every line of a run
 * @param bounds - the exception's size and duration
 * @returns violations; empty if the invariant held
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
    const detail = `${line.server} had ${line.inFlight} requests in flight at ${line.atMs} ms, ${limit} are allowed`;
    return [{ invariant: "coldStart", detail, lines: [line.sequence] }];
}
