import { minRemainingTimeShare } from "./constants.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";
import { isGood, type ServerScore } from "./serverScore.js";

/** What to do with a request now that servers have answered for themselves. */
export type PlacementDecision =
    | { readonly type: "send"; readonly score: ServerScore; readonly reason: "good" | "inTime" | "best"; }
    /** Ask the servers that were not asked yet. */
    | { readonly type: "widen"; }
    /** Ask again after a pause. */
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly reason: "allFull" | "tooLate" | "noOffer"; };

/** What decides. */
export interface PlacementInput {
    /** The servers that may be sent to, scored. */
    readonly scores: readonly ServerScore[];
    readonly hasUnprobed: boolean;
    /** Whether there is someone to ask, but no question left for the moment. */
    readonly mayProbeLater: boolean;
    /** Since the request arrived. */
    readonly waitedMs: number;
    readonly objectiveMs: number;
    /** Until its caller or its route gives up. */
    readonly remainingMs: number;
    readonly typicalLatencyMs: number;
}

/**
 * Decides for one request. Load moves within milliseconds: at any moment some servers are several times slower than others,
 * for a short while. So a good server is taken at once; where only slow or full ones answered, the rest is asked,
 * and then a short wait at the gateway, which can still choose, is better than a place in the queue of a slow server,
 * which can't be left any more. The wait ends while the answer can still be of full use. What then finds no free slot is
 * refused with a time to come back: in a server's queue it would be late itself, and keep the slots from requests that
 * could still be in time, until nearly every answer is late.
 *
 * @param input - what decides
 * @param policy - for how long a request waits, and what counts as good or bearable
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
        // Nothing is known of the servers: refused for want of a question, requests would be lost while there is room.
        return input.mayProbeLater && waitedMs + typicalLatencyMs < objectiveMs
            ? { type: "wait" }
            : { type: "refuse", reason: "noOffer" };
    }
    const bearable = findBest(scores.filter(score => isBearable(score, policy)));
    return bearable === undefined
        ? { type: "refuse", reason: "allFull" }
        : { type: "send", score: bearable, reason: "best" };
}

/** An idle server is never passed over, however slow: the request takes nothing from others there. */
function isBearable({ hasFreeSlot, isIdle, latencyFactor }: ServerScore, { tooSlowFactor }: PlacementPolicy): boolean {
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

/** Among equals the least filled one: taken in the order of a list, the same server would be everybody's choice. */
function isBetter(a: ServerScore, b: ServerScore): boolean {
    return a.expectedLatencyMs < b.expectedLatencyMs
        || (a.expectedLatencyMs === b.expectedLatencyMs && a.utilization < b.utilization);
}
