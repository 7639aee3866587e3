import { otherZoneCostMs, suspectFactor } from "./constants.js";
import { type ServerStatus } from "./serverStatus.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";

/** What a request may expect of a server that answered for itself. */
export interface ServerScore {
    readonly status: ServerStatus;
    /** Whether a slot is free for the request at once. */
    readonly hasFreeSlot: boolean;
    /** Requests there for each slot. */
    readonly utilization: number;
    /** Whether nothing else is there. */
    readonly isIdle: boolean;
    /** How many times its usual time the work takes, without the time in the queue. */
    readonly latencyFactor: number;
    /** From now until the answer. */
    readonly expectedLatencyMs: number;
    readonly suspect: boolean;
}

/** What is known besides the offer. */
export interface ScoreContext {
    readonly typicalLatencyMs: number;
    /** Requests that this gateway sent after the server told its load. */
    readonly sentSinceReport: number;
    readonly sameZone: boolean;
    readonly suspect: boolean;
    /** Slots that the request leaves to more urgent ones. */
    readonly reservedSlots: number;
}

/**
 * Estimates when a server would answer.
 *
 * @param offer - what it said of itself
 * @param context - what is known besides
 * @param policy - from when on a server is nearly full
 */
export function scoreServer(
    offer: ServerStatus,
    context: ScoreContext,
    { nearlyFullShare, nearlyFullFactor }: PlacementPolicy = defaultPlacementPolicy,
): ServerScore {
    const { load } = offer;
    const slots = Math.max(1, load?.slots ?? offer.slots);
    const ahead = (load?.running ?? 0) + (load?.waiting ?? 0) + context.sentSinceReport;
    const free = ahead < slots - context.reservedSlots || ahead === 0;
    const nearlyFull = ahead + 1 >= slots * nearlyFullShare;
    const factor = (load?.slowdown ?? 1) * (nearlyFull ? nearlyFullFactor : 1);
    const workMs = context.typicalLatencyMs * factor;
    // Slots come free one after the other, evenly spread over the time that work takes.
    const queueMs = free ? 0 : workMs * (ahead - slots + 1) / slots;
    const expectedMs = (workMs + queueMs) * (context.suspect ? suspectFactor : 1)
        + (context.sameZone ? 0 : otherZoneCostMs);
    return {
        status: offer,
        hasFreeSlot: free,
        utilization: ahead / slots,
        isIdle: ahead === 0,
        latencyFactor: factor,
        expectedLatencyMs: expectedMs,
        suspect: context.suspect,
    };
}

/** @returns whether the server is to be taken without a further look: it has room, and its work takes its usual time */
export function isGood(
    { hasFreeSlot, latencyFactor, suspect }: ServerScore,
    { goodFactor }: PlacementPolicy = defaultPlacementPolicy,
): boolean {
    return hasFreeSlot && latencyFactor <= goodFactor && !suspect;
}
