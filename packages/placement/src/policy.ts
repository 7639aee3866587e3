import {
    goodFactor,
    hedgeAfterShare,
    lastResortMs,
    mostAskedAtOnce,
    nearlyFullFactor,
    nearlyFullShare,
    rememberedMs,
    subsetServers,
    sureChance,
    sureMs,
    tooSlowFactor,
    waitShare,
    wantedChance,
} from "./constants.js";

/** Settings of placement. Times are in milliseconds; shares and probabilities range from 0 to 1. */
export interface PlacementPolicy {
    /** Maximum number of backend servers that one request probes in parallel. */
    readonly mostAskedAtOnce: number;
    /** Target probability that at least one of the servers probed in parallel is good. */
    readonly wantedChance: number;
    /** Minimum probability of being good, and maximum age of a status, for sending without a new probe. */
    readonly sureChance: number;
    readonly sureMs: number;
    /** Maximum age of a cached status that is used when no server can be probed, and by a request's last search. */
    readonly rememberedMs: number;
    readonly lastResortMs: number;
    /** Share of a request's latency objective for which it waits for a better server. */
    readonly waitShare: number;
    /** A server on which requests take at most this many times their usual latency is good. */
    readonly goodFactor: number;
    /** A server that is slower by this factor gets a request whose wait is over only while it is idle. */
    readonly tooSlowFactor: number;
    /** Utilization of a server's slots from which requests are expected to take longer, and by which factor. */
    readonly nearlyFullShare: number;
    readonly nearlyFullFactor: number;
    /** Size of the subset of a service's servers that a gateway probes first. */
    readonly subsetServers: number;
    /**
     * Share of the latency objective after which an idempotent request without a response is hedged to a second server.
     */
    readonly hedgeAfterShare: number;
}

export const defaultPlacementPolicy: PlacementPolicy = Object.freeze({
    mostAskedAtOnce,
    wantedChance,
    sureChance,
    sureMs,
    rememberedMs,
    lastResortMs,
    waitShare,
    goodFactor,
    tooSlowFactor,
    nearlyFullShare,
    nearlyFullFactor,
    subsetServers,
    hedgeAfterShare,
});

/**
 * @param settings - values that override the defaults
 * @returns the complete policy, frozen
 */
export function resolvePlacementPolicy(settings: Partial<PlacementPolicy> = {}): PlacementPolicy {
    return Object.freeze({ ...defaultPlacementPolicy, ...settings });
}
