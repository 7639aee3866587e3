import { createRandomSource } from "@galenaglade/routing";
import { faultyMs } from "./constants.js";
import { type LinkFault } from "./faults.js";

/** Gateways of a run that reach no backend server for a while. */
export interface PlannedCut {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly forMs: number;
    /** Which gateway comes first, modulo their number, and how many after it are cut off as well. */
    readonly target: number;
    readonly others: number;
    readonly link: LinkFault;
    /** How often the links come back and go again meanwhile, in milliseconds; `undefined` where they stay away. */
    readonly flapMs: number | undefined;
}

const cutShare = 0.5;
const againShare = 0.4;
const flapShare = 0.2;
const shortestMs = 1_500;
const shortestFlapMs = 300;
const longestFlapMs = 1_200;
const mostOthers = 4;
const links: readonly LinkFault[] = ["reset", "cutThere", "cutBack"];
/** Spreads neighbouring seeds, and keeps apart from those of everything else in a run. */
const seedFactor = 0x165_667b1;

/**
 * Draws which gateways of a run are cut off from all backend servers. Cuts may overlap.
 *
 * @param seed - of the run
 * @returns the same for the same seed
 */
export function planCuts(seed: number): readonly PlannedCut[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const cuts: PlannedCut[] = [];
    for (let share = cutShare; random.next() < share; share = againShare) {
        const atMs = random.next() * (faultyMs - shortestMs);
        const flaps = random.next() < flapShare;
        cuts.push({
            atMs,
            forMs: shortestMs + random.next() * (faultyMs - shortestMs - atMs),
            target: random.nextInt(1_000),
            others: random.nextInt(mostOthers),
            link: links[random.nextInt(links.length)] ?? "reset",
            flapMs: flaps ? shortestFlapMs + random.next() * (longestFlapMs - shortestFlapMs) : undefined,
        });
    }
    return cuts;
}
