import { otherZoneCostMs, suspectFactor } from "./constants.js";
import { type ServerStatus } from "./serverStatus.js";
import { defaultPlacementPolicy, type PlacementPolicy } from "./policy.js";

/** Estimate of how a server would handle a request, by its status. */
export interface ServerScore {
    readonly status: ServerStatus;
    /** Whether the server has a free slot for the request. */
    readonly hasFreeSlot: boolean;
    /** Requests at the server per slot. */
    readonly utilization: number;
    /** Whether the server has no requests. */
    readonly isIdle: boolean;
    /** Expected latency as a multiple of the typical latency, without queueing. */
    readonly latencyFactor: number;
    /** Expected time from now until the response. */
    readonly expectedLatencyMs: number;
    readonly suspect: boolean;
}

/** Input to the score besides the server's status. */
export interface ScoreContext {
    readonly typicalLatencyMs: number;
    /** Requests that this gateway sent after the server reported its load. */
    readonly sentSinceReport: number;
    readonly sameZone: boolean;
    readonly suspect: boolean;
    /** Slots reserved for requests of higher priority. */
    readonly reservedSlots: number;
}

/**
 * Estimates how soon a server would respond to a request.
 *
 * @param status - status of the server
 * @param context - what the gateway knows besides the status
 * @param policy - when a server counts as nearly full, and the slowdown that follows
 * @returns the score
 */
export function scoreServer(
    status: ServerStatus,
    context: ScoreContext,
    { nearlyFullShare, nearlyFullFactor }: PlacementPolicy = defaultPlacementPolicy,
): ServerScore {
    const { load } = status;
    const slots = Math.max(1, load?.slots ?? status.slots);
    const requestsAhead = (load?.running ?? 0) + (load?.waiting ?? 0) + context.sentSinceReport;
    const hasFreeSlot = requestsAhead < slots - context.reservedSlots || requestsAhead === 0;
    const isNearlyFull = requestsAhead + 1 >= slots * nearlyFullShare;
    const latencyFactor = (load?.slowdown ?? 1) * (isNearlyFull ? nearlyFullFactor : 1);
    const latencyMs = context.typicalLatencyMs * latencyFactor;
    // Assumes that slots become free at even intervals over the time that one request takes.
    const queueMs = hasFreeSlot ? 0 : latencyMs * (requestsAhead - slots + 1) / slots;
    const expectedLatencyMs = (latencyMs + queueMs) * (context.suspect ? suspectFactor : 1)
        + (context.sameZone ? 0 : otherZoneCostMs);
    return {
        status,
        hasFreeSlot,
        utilization: requestsAhead / slots,
        isIdle: requestsAhead === 0,
        latencyFactor,
        expectedLatencyMs,
        suspect: context.suspect,
    };
}

/**
 * @returns whether the server may be used without probing others: it has a free slot, its latency is near the usual
 * one, and it isn't suspect
 */
export function isGood(
    { hasFreeSlot, latencyFactor, suspect }: ServerScore,
    { goodFactor }: PlacementPolicy = defaultPlacementPolicy,
): boolean {
    return hasFreeSlot && latencyFactor <= goodFactor && !suspect;
}
