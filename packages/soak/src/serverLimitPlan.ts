import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A server of a run that names a limit for a while. */
export interface PlannedServerLimit {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Which server: taken modulo their number. */
    readonly target: number;
    /** Requests a second that it takes from all gateways together. */
    readonly perSecond: number;
}

const limitShare = 0.4;
const latestMs = 2_000;
const shortestMs = 6_000;
const largest = 4;
/** Spreads neighbouring seeds, whose first numbers are alike, and keeps apart from those of everything else in a run. */
const seedFactor = 0xc2b2_ae35;

/**
 * Draws whether a server of a run names a limit.
 *
 * @param seed - of the run
 * @returns the limit, or `undefined` for a run without one
 */
export function planServerLimit(seed: number): PlannedServerLimit | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= limitShare) {
        return undefined;
    }
    const atMs = random.next() * latestMs;
    return {
        atMs,
        durationMs: shortestMs + random.next() * (faultPhaseMs - shortestMs - atMs),
        target: random.nextInt(1_000),
        perSecond: Math.round(10 * (0.3 + random.next() * largest)) / 10,
    };
}
