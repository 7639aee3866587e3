import { type HistoryLine, type Violation } from "./events.js";

/** Failures allowed for callers of gateways that are partitioned from all backend servers. */
export interface PartitionedGatewayBounds {
    /** Time from the start of a partition until failures count, in milliseconds. */
    readonly settleMs: number;
    /** Minimum success rate through partitioned gateways, as a share of the other gateways' rate in the same time. */
    readonly minRelativeShare: number;
    /** Failures that are always allowed: this number plus `allowedFailureShare` of all requests in the same time. */
    readonly allowedFailures: number;
    readonly allowedFailureShare: number;
}

interface Tally {
    sent: number;
    served: number;
}

/**
 * Checks that callers of gateways that are partitioned from all backend servers are served about as well as callers of
 * the other gateways. Each request counts as a first try.
 *
 * @param history - every line of a run, ordered by time; `callerSent` lines must have a gateway
 * @param bounds - the failures allowed
 * @returns violations; empty if the invariant held
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
    const partitionedSinceMs = new Map<string, number>();
    const partitioned: Tally = { sent: 0, served: 0 };
    const others: Tally = { sent: 0, served: 0 };
    const failed: number[] = [];
    for (const line of history) {
        switch (line.type) {
            case "gatewayCutFromServers":
                partitionedSinceMs.set(line.gateway, partitionedSinceMs.get(line.gateway) ?? line.atMs);
                break;
            case "gatewayLinksRestored":
                partitionedSinceMs.delete(line.gateway);
                break;
            case "callerSent": {
                const sinceMs = partitionedSinceMs.get(line.gateway ?? "");
                const isServed = served.has(line.requestId);
                if (sinceMs === undefined) {
                    count(others, isServed && partitionedSinceMs.size > 0, partitionedSinceMs.size > 0);
                }
                else if (line.atMs >= sinceMs + bounds.settleMs) {
                    count(partitioned, isServed, true);
                    failed.push(...(isServed ? [] : [line.sequence]));
                }
            }
        }
    }
    const allowed = bounds.allowedFailures + bounds.allowedFailureShare * (partitioned.sent + others.sent);
    const isFewer = partitioned.served * others.sent < bounds.minRelativeShare * others.served * partitioned.sent;
    if (!isFewer || failed.length <= allowed) {
        return [];
    }
    const detail =
        `partitioned gateways served ${partitioned.served} of ${partitioned.sent}, others ${others.served} of ${others.sent}`;
    return [{ invariant: "cutGateways", detail, lines: failed }];
}

function count(tally: Tally, isServed: boolean, counts: boolean): void {
    tally.sent += counts ? 1 : 0;
    tally.served += isServed ? 1 : 0;
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}
