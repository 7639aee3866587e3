import { type HistoryLine, type Violation } from "./events.js";

type Ordered = Extract<HistoryLine, { readonly type: "rolloutOrdered"; }>;
type Ended = Extract<HistoryLine, { readonly type: "rolloutEnded"; }>;
type Started = Extract<HistoryLine, { readonly type: "serverStarted"; }>;

/** Limits for rollouts. */
export interface RolloutBounds {
    /** Service of each backend server. */
    readonly serviceOf: ReadonlyMap<string, string>;
    /** Maximum share of a service's requests that a bad version may receive, plus a fixed number of requests. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
    /** How long a version may still receive requests after it was rolled back, in milliseconds. */
    readonly rollbackMs: number;
}

/**
 * Checks that the rollout of a bad version is never completed, that a bad version receives a bounded share of its
 * service's requests, and that a version receives no requests after it was rolled back.
 *
 * @param history - every line of a run, ordered by time
 * @param bounds - the limits
 * @returns violations; empty if the invariant held
 */
export function checkRollouts(history: readonly HistoryLine[], bounds: RolloutBounds): readonly Violation[] {
    const orders = history.filter((line): line is Ordered => line.type === "rolloutOrdered");
    return orders.flatMap(order => {
        const end = history.find((line): line is Ended =>
            line.type === "rolloutEnded" && line.service === order.service && line.version === order.version
        );
        const starts = history.filter((line): line is Started =>
            line.type === "serverStarted" && line.atMs >= order.atMs
            && bounds.serviceOf.get(line.server) === order.service
        );
        return [
            ...checkVerdict(order, end),
            ...checkExposure(order, starts, bounds),
            ...checkLate(order, end, starts, bounds),
        ];
    });
}

function checkVerdict(order: Ordered, end: Ended | undefined): readonly Violation[] {
    if (!order.isBad || end?.stage !== "completed") {
        return [];
    }
    return [{
        invariant: "rollout",
        detail: `the rollout of bad version ${order.version} of ${order.service} was completed`,
        lines: [order.sequence, end.sequence],
    }];
}

function checkExposure(
    order: Ordered,
    starts: readonly Started[],
    { exposureShare, exposureSlack }: RolloutBounds,
): readonly Violation[] {
    const exposed = starts.filter(({ server }) => order.servers.includes(server)).length;
    const allowed = starts.length * exposureShare + exposureSlack;
    if (!order.isBad || exposed <= allowed) {
        return [];
    }
    return [{
        invariant: "exposure",
        detail: `${exposed} of ${starts.length} requests ran on the bad version ${order.version}`,
        lines: [order.sequence],
    }];
}

function checkLate(
    order: Ordered,
    end: Ended | undefined,
    starts: readonly Started[],
    { rollbackMs }: RolloutBounds,
): readonly Violation[] {
    if (end?.stage !== "rolledBack") {
        return [];
    }
    return starts
        .filter(({ server, atMs }) => order.servers.includes(server) && atMs > end.atMs + rollbackMs)
        .map(({ server, atMs, sequence }) => ({
            invariant: "rollback",
            detail: `${server} started a request ${
                Math.round(atMs - end.atMs)
            } ms after ${order.version} was rolled back`,
            lines: [end.sequence, sequence],
        }));
}
