import { type LimitRule } from "./model.js";

/** By how much a workspace's requests within one window may exceed its limit and burst, over all hosts together. */
export interface LimitTolerance {
    /** As a fraction of the requests that limit and burst allow in the window. */
    readonly overshoot: number;
    /** Additional number of requests. */
    readonly slack: number;
}

export const defaultTolerance: LimitTolerance = Object.freeze({ overshoot: 0.1, slack: 20 });

/** Window length, in seconds. */
const windowSeconds = 5;

/**
 * Part of the tolerance reserved for errors of the protocol: shares that move between allocators, new buckets, and
 * hosts with different views of the fleet. A fraction of the window's requests, and a number of requests.
 */
const reservedFraction = 0.1;
const reservedRequests = 14;

/**
 * Fraction of the remaining tolerance that is admitted; the rest covers the delay between granting a token and sending
 * its request.
 */
const usedFraction = 0.75;

/** Minimum admitted rate, as a fraction of the limit, if the tolerance is too small for the errors of the protocol. */
const minRateFraction = 0.5;

/**
 * Computes the rate at which a workspace's tokens are granted. The remaining tolerance is used to refuse fewer requests
 * of callers near their limit: a small limit is a few requests per second, and by default each window allows 20 more.
 *
 * @param rule - the limit
 * @param tolerance - allowed excess over the limit
 * @returns requests per second
 */
export function resolveAdmittedRate({ perSecond, burst }: LimitRule, { overshoot, slack }: LimitTolerance): number {
    const window = windowSeconds * perSecond + burst;
    const spare = slack - reservedRequests + (overshoot - reservedFraction) * window;
    return Math.max(minRateFraction * perSecond, perSecond + usedFraction * spare / windowSeconds);
}
