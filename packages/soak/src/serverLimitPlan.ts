import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A server that advertises a rate limit for some time. */
export interface PlannedServerLimit {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the server, modulo the number of servers. */
    readonly target: number;
    /** Advertised limit for all gateways together, in requests per second. */
    readonly perSecond: number;
}

const limitShare = 0.4;
const maxStartMs = 2_000;
const minDurationMs = 6_000;
const perSecondRange = 4;
/**
 * Seed multiplier. Adjacent seeds would have similar first random numbers, and the plans of a run must be independent
 * of each other.
 */
const seedFactor = 0xc2b2_ae35;

/**
 * Draws whether a server of a run advertises a rate limit.
 *
 * @param seed - seed of the run
 * @returns the limit, or `undefined` for a run without one
 */
export function planServerLimit(seed: number): PlannedServerLimit | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= limitShare) {
        return undefined;
    }
    const atMs = random.next() * maxStartMs;
    return {
        atMs,
        durationMs: minDurationMs + random.next() * (faultPhaseMs - minDurationMs - atMs),
        target: random.nextInt(1_000),
        perSecond: Math.round(10 * (0.3 + random.next() * perSecondRange)) / 10,
    };
}
