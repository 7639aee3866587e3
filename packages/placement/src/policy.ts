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

/** Settings of the placement. Times are milliseconds; shares and chances go from 0 to 1. */
export interface PlacementPolicy {
    /** Backend servers asked for their load at once, at most. */
    readonly mostAskedAtOnce: number;
    /** Chance with which one of the servers that are asked at once is to be good. */
    readonly wantedChance: number;
    /** Chance from which on a server is sent to without asking it, and the age up to which. */
    readonly sureChance: number;
    readonly sureMs: number;
    /** Age up to which a load report decides where nobody can be asked, and at the last look. */
    readonly rememberedMs: number;
    readonly lastResortMs: number;
    /** Share of a request's objective for which it is held for a better server. */
    readonly waitShare: number;
    /** A server on which work takes at most this many times its usual time is good. */
    readonly goodFactor: number;
    /** A server that is slower by this factor gets a request past its wait only while it is idle. */
    readonly tooSlowFactor: number;
    /** Share of a server's slots from which on its work is taken to get slower, and by how much. */
    readonly nearlyFullShare: number;
    readonly nearlyFullFactor: number;
    /** Backend servers of each service that a gateway asks before others. */
    readonly subsetServers: number;
    /** Share of the objective after which an idempotent request without an answer is sent to a second server. */
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
 * @param settings - those that differ from the defaults
 * @returns the whole policy, frozen
 */
export function resolvePlacementPolicy(settings: Partial<PlacementPolicy> = {}): PlacementPolicy {
    return Object.freeze({ ...defaultPlacementPolicy, ...settings });
}
