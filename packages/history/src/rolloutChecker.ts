import { type HistoryLine, type Violation } from "./events.js";

type Ordered = Extract<HistoryLine, { readonly type: "rolloutOrdered"; }>;
type Ended = Extract<HistoryLine, { readonly type: "rolloutEnded"; }>;
type Started = Extract<HistoryLine, { readonly type: "serverStarted"; }>;

/** What is allowed around roll-outs. */
export interface RolloutBounds {
    /** Service of each backend server. */
    readonly serviceOf: ReadonlyMap<string, string>;
    /** Share of a service's requests that a bad version may get, and how many besides. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
    /** How long after the end of a roll-out a version that was rolled back may still get requests. */
    readonly rollbackMs: number;
}

/**
 * Checks that a bad version is never completed and gets a bounded share of its service's requests, and that a version that was
 * rolled back gets none any more.
 *
 * @param history - every line of a run, in the order of its times
 * @param bounds - what is allowed
 * @returns what was found against it; empty where the invariant held
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
        detail: `the bad version ${order.version} of ${order.service} was completed`,
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
