import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A query of death: a request that crashes each server that runs it, sent repeatedly to any gateway. */
export interface PlannedQueryOfDeath {
    /** When it is sent, in milliseconds after the load begins. */
    readonly sendTimesMs: readonly number[];
    readonly path: string;
}

/** A request whose path contains this crashes its server. */
export const queryOfDeathMarker = "deadly-";

const queryOfDeathShare = 0.6;
const minRequests = 6;
const maxRequests = 25;
const maxStartMs = 2_000;
/**
 * Seed multiplier. Adjacent seeds would have similar first random numbers, and the plans of a run must be independent
 * of each other.
 */
const seedFactor = 0x85eb_ca6b;

/**
 * Draws whether a run has a query of death, and when it is sent.
 *
 * @param seed - seed of the run
 * @param pathPrefix - path prefix of its route
 * @returns the query of death, or `undefined` for a run without one
 */
export function planQueryOfDeath(seed: number, pathPrefix: string): PlannedQueryOfDeath | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= queryOfDeathShare) {
        return undefined;
    }
    const startMs = random.next() * maxStartMs;
    const count = minRequests + random.nextInt(maxRequests - minRequests + 1);
    const atMs = Array.from({ length: count }, () => startMs + random.next() * (faultPhaseMs - startMs));
    return { sendTimesMs: atMs.sort((a, b) => a - b), path: `${pathPrefix}${queryOfDeathMarker}${seed}` };
}
