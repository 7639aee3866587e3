import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";
import { type LinkFault } from "./faults.js";

/** Gateways of a run that reach no backend server for a while. */
export interface PlannedPartition {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Which gateway comes first, modulo their number, and how many after it are cut off as well. */
    readonly target: number;
    readonly additionalGateways: number;
    readonly linkFault: LinkFault;
    /** How often the links come back and go again meanwhile, in milliseconds; `undefined` where they stay away. */
    readonly flapPeriodMs: number | undefined;
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
export function planPartitions(seed: number): readonly PlannedPartition[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const cuts: PlannedPartition[] = [];
    for (let share = cutShare; random.next() < share; share = againShare) {
        const atMs = random.next() * (faultPhaseMs - shortestMs);
        const flaps = random.next() < flapShare;
        cuts.push({
            atMs,
            durationMs: shortestMs + random.next() * (faultPhaseMs - shortestMs - atMs),
            target: random.nextInt(1_000),
            additionalGateways: random.nextInt(mostOthers),
            linkFault: links[random.nextInt(links.length)] ?? "reset",
            flapPeriodMs: flaps ? shortestFlapMs + random.next() * (longestFlapMs - shortestFlapMs) : undefined,
        });
    }
    return cuts;
}
