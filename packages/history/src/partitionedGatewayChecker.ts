import { type HistoryLine, type Violation } from "./events.js";

/** What callers of gateways that are cut off from all backend servers may lose. */
export interface PartitionedGatewayBounds {
    /** From the beginning of a cut until it counts, in milliseconds. */
    readonly settleMs: number;
    /** Requests served there, as a part of the share that the other gateways serve in the same time, at least. */
    readonly minRelativeShare: number;
    /** Requests that may fail there in any case: so many, and so large a part of all that are sent in the same time. */
    readonly allowedFailures: number;
    readonly allowedFailureShare: number;
}

interface Tally {
    sent: number;
    served: number;
}

/**
 * Checks that callers whose gateway is cut off from all backend servers are served like the callers of the others. Each request counts as
 * a first try.
 *
 * @param history - every line of a run, in the order of its times; callers' requests name their gateways
 * @param bounds - what callers may lose
 * @returns what was found against it; empty where the invariant held
 */
export function checkPartitionedGateways(
    history: readonly HistoryLine[],
    bounds: PartitionedGatewayBounds,
): readonly Violation[] {
    const served = new Set(
        history.flatMap(line =>
            line.type === "callerAnswered" && line.whole && isSuccess(line.status) ? line.requestId : []
        ),
    );
    const cutSinceMs = new Map<string, number>();
    const cut: Tally = { sent: 0, served: 0 };
    const others: Tally = { sent: 0, served: 0 };
    const failed: number[] = [];
    for (const line of history) {
        switch (line.type) {
            case "gatewayCutFromServers":
                cutSinceMs.set(line.gateway, cutSinceMs.get(line.gateway) ?? line.atMs);
                break;
            case "gatewayLinksRestored":
                cutSinceMs.delete(line.gateway);
                break;
            case "callerSent": {
                const sinceMs = cutSinceMs.get(line.gateway ?? "");
                const isServed = served.has(line.requestId);
                if (sinceMs === undefined) {
                    count(others, isServed && cutSinceMs.size > 0, cutSinceMs.size > 0);
                }
                else if (line.atMs >= sinceMs + bounds.settleMs) {
                    count(cut, isServed, true);
                    failed.push(...(isServed ? [] : [line.sequence]));
                }
            }
        }
    }
    const allowed = bounds.allowedFailures + bounds.allowedFailureShare * (cut.sent + others.sent);
    const isFewer = cut.served * others.sent < bounds.minRelativeShare * others.served * cut.sent;
    if (!isFewer || failed.length <= allowed) {
        return [];
    }
    const detail =
        `gateways without links to servers served ${cut.served} of ${cut.sent} requests, the others ${others.served} of ${others.sent}`;
    return [{ invariant: "cutGateways", detail, lines: failed }];
}

function count(tally: Tally, isServed: boolean, counts: boolean): void {
    tally.sent += counts ? 1 : 0;
    tally.served += isServed ? 1 : 0;
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}
