import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** Requests of a run that end the servers that run them: the same one again and again, at any gateway. */
export interface PlannedQueryOfDeath {
    /** When each is sent, since callers were let in, in milliseconds. */
    readonly sendTimesMs: readonly number[];
    readonly path: string;
}

/** A request whose path has this in it ends its server. */
export const queryOfDeathMarker = "deadly-";

const deadlyShare = 0.6;
const fewest = 6;
const most = 25;
const latestStartMs = 2_000;
/** Spreads neighbouring seeds, whose first numbers are alike, and keeps apart from those of everything else in a run. */
const seedFactor = 0x85eb_ca6b;

/**
 * Draws whether a run has callers whose request ends its servers, and when they send it.
 *
 * @param seed - of the run
 * @param pathPrefix - of the route that they use
 * @returns the requests, or `undefined` for a run without any
 */
export function planQueryOfDeath(seed: number, pathPrefix: string): PlannedQueryOfDeath | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= deadlyShare) {
        return undefined;
    }
    const startMs = random.next() * latestStartMs;
    const count = fewest + random.nextInt(most - fewest + 1);
    const atMs = Array.from({ length: count }, () => startMs + random.next() * (faultPhaseMs - startMs));
    return { sendTimesMs: atMs.sort((a, b) => a - b), path: `${pathPrefix}${queryOfDeathMarker}${seed}` };
}
