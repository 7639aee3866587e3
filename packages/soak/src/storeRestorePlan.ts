import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A store outage that ends with a restore from an older snapshot. */
export interface PlannedStoreRestore {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly outageMs: number;
    /** Age of the snapshot at the end of the outage, in milliseconds. */
    readonly snapshotAgeMs: number;
    readonly outageKind: "refuses" | "hangs";
}

const repeatShare = 0.6;
const maxRestores = 4;
const maxOutageMs = 2_500;
const maxSnapshotAgeMs = 12_000;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x27d4_eb2f;

/**
 * Draws when the store of a run is restored from an older snapshot, at least once.
 *
 * @param seed - seed of the run
 * @returns the restores in chronological order; the same for the same seed
 */
export function planStoreRestores(seed: number): readonly PlannedStoreRestore[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const restores: PlannedStoreRestore[] = [];
    do {
        restores.push({
            atMs: random.next() * (faultPhaseMs - maxOutageMs),
            outageMs: random.next() * maxOutageMs,
            snapshotAgeMs: random.next() * maxSnapshotAgeMs,
            outageKind: random.next() < 0.5 ? "refuses" : "hangs",
        });
    }
    while (restores.length < maxRestores && random.next() < repeatShare);
    return restores.sort((a, b) => a.atMs - b.atMs);
}
