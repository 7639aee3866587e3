import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** The store is away and comes back from an older copy. */
export interface PlannedStoreRestore {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly outageMs: number;
    /** Age of the copy at the return, in milliseconds. */
    readonly snapshotAgeMs: number;
    readonly outageKind: "refuses" | "hangs";
}

const againShare = 0.6;
const mostDrills = 4;
const longestAwayMs = 2_500;
const oldestCopyMs = 12_000;
/** Spreads neighbouring seeds, and keeps apart from those of everything else in a run. */
const seedFactor = 0x27d4_eb2f;

/**
 * Draws when the store of a run comes back from an older copy, at least once.
 *
 * @param seed - of the run
 * @returns the same for the same seed, in the order of time
 */
export function planStoreRestores(seed: number): readonly PlannedStoreRestore[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const drills: PlannedStoreRestore[] = [];
    do {
        drills.push({
            atMs: random.next() * (faultPhaseMs - longestAwayMs),
            outageMs: random.next() * longestAwayMs,
            snapshotAgeMs: random.next() * oldestCopyMs,
            outageKind: random.next() < 0.5 ? "refuses" : "hangs",
        });
    }
    while (drills.length < mostDrills && random.next() < againShare);
    return drills.sort((a, b) => a.atMs - b.atMs);
}
