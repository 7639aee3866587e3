import { minRemainingTimeShare } from "./constants.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";
import { isGood, type ServerScore } from "./serverScore.js";

/** What to do with a request, given the status of servers. */
export type PlacementDecision =
    | { readonly type: "send"; readonly score: ServerScore; readonly reason: "good" | "inTime" | "best"; }
    /** Probe servers that haven't been probed yet. */
    | { readonly type: "widen"; }
    /** Probe again after a pause. */
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly reason: "allFull" | "tooLate" | "noOffer"; };

/** Input to the placement of one request. */
export interface PlacementInput {
    /** Scores of the servers that may be sent requests. */
    readonly scores: readonly ServerScore[];
    /** Whether some servers haven't been probed yet. */
    readonly hasUnprobed: boolean;
    /** Whether there are servers to probe, but the probe budget is used up for the moment. */
    readonly mayProbeLater: boolean;
    /** Time since the request arrived. */
    readonly waitedMs: number;
    readonly objectiveMs: number;
    /** Time until its caller or its route gives up. */
    readonly remainingMs: number;
    readonly typicalLatencyMs: number;
}

/**
 * Decides what to do with one request. Load changes within milliseconds, and at any moment some servers are several
 * times slower than others for a short while. A good server is therefore used at once. If only slow or full servers
 * responded, the others are probed. After that the request waits briefly at the gateway, which can still choose,
 * whereas a request can't leave the queue of a slow server.
 *
 * The wait ends early enough for the response to meet the objective. A request that then finds no free slot is rejected
 * with a Retry-After. In a server's queue it would be late itself and take slots from requests that could still be in
 * time, until nearly every response is late.
 *
 * @param input - the scored servers and the request's times
 * @param policy - how long a request waits, and which servers count as good or too slow
 * @returns what to do now
 */
export function choosePlacement(
    input: PlacementInput,
    policy: PlacementPolicy = defaultPlacementPolicy,
): PlacementDecision {
    const { scores, remainingMs, typicalLatencyMs, waitedMs, objectiveMs } = input;
    if (remainingMs < typicalLatencyMs * minRemainingTimeShare) {
        return { type: "refuse", reason: "tooLate" };
    }
    const best = findBest(scores);
    if (best !== undefined && isGood(best, policy)) {
        return { type: "send", score: best, reason: "good" };
    }
    if (input.hasUnprobed) {
        return { type: "widen" };
    }
    if (best !== undefined && best.hasFreeSlot && waitedMs + best.expectedLatencyMs <= objectiveMs) {
        return { type: "send", score: best, reason: "inTime" };
    }
    if (waitedMs < objectiveMs * policy.waitShare) {
        return { type: "wait" };
    }
    if (best === undefined) {
        // Nothing is known of the servers. Rejecting for lack of probe budget would lose requests while servers have
        // spare capacity.
        return input.mayProbeLater && waitedMs + typicalLatencyMs < objectiveMs
            ? { type: "wait" }
            : { type: "refuse", reason: "noOffer" };
    }
    const acceptable = findBest(scores.filter(score => isAcceptable(score, policy)));
    return acceptable === undefined
        ? { type: "refuse", reason: "allFull" }
        : { type: "send", score: acceptable, reason: "best" };
}

/** An idle server is acceptable however slow it is: the request takes no capacity from others there. */
function isAcceptable(
    { hasFreeSlot, isIdle, latencyFactor }: ServerScore,
    { tooSlowFactor }: PlacementPolicy,
): boolean {
    return hasFreeSlot && (isIdle || latencyFactor < tooSlowFactor);
}

function findBest(scores: readonly ServerScore[]): ServerScore | undefined {
    let best: ServerScore | undefined;
    for (const score of scores) {
        if (best === undefined || isBetter(score, best)) {
            best = score;
        }
    }
    return best;
}

/** Breaks ties by utilization: by list order, all requests would choose the same server. */
function isBetter(a: ServerScore, b: ServerScore): boolean {
    return a.expectedLatencyMs < b.expectedLatencyMs
        || (a.expectedLatencyMs === b.expectedLatencyMs && a.utilization < b.utilization);
}
