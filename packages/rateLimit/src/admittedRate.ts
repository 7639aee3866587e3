import { type LimitRule } from "./model.js";

/** By how much the requests of a workspace in one window may lie above its limit and its burst, over all hosts together. */
export interface LimitTolerance {
    /** Share of what the limit and the burst allow in the window. */
    readonly overshoot: number;
    /** Requests besides. */
    readonly slack: number;
}

export const defaultTolerance: LimitTolerance = Object.freeze({ overshoot: 0.1, slack: 20 });

/** Length of the windows, in seconds. */
const windowSeconds = 5;

/** Shares that move, buckets that begin and hosts that count different fleets take up to this share of a window, and these requests. */
const reservedShare = 0.1;
const reservedRequests = 14;

/** Part of what is left of the tolerance that is admitted; the rest is for the time from a token to its send. */
const usedShare = 0.75;

/** A tolerance that is too small for the errors of the protocol lowers the rate to this share of the limit at most. */
const leastShare = 0.5;

/**
 * Finds the rate at which a workspace's tokens are dealt out. Callers near their limit are better served by what the tolerance leaves than
 * by an exact limit: a small one is a few requests per second, and 20 more are allowed in each window.
 *
 * @param rule - the limit
 * @param tolerance - allowed above it
 * @returns requests per second
 */
export function resolveAdmittedRate({ perSecond, burst }: LimitRule, { overshoot, slack }: LimitTolerance): number {
    const window = windowSeconds * perSecond + burst;
    const spare = slack - reservedRequests + (overshoot - reservedShare) * window;
    return Math.max(leastShare * perSecond, perSecond + usedShare * spare / windowSeconds);
}
