import { createRandomSource } from "@galenaglade/routing";

/** A roll-out that a run orders beside its faults. */
export interface PlannedRollout {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly service: string;
    /** Whether half of the new version's requests fail. */
    readonly isBad: boolean;
}

const rolloutShare = 0.5;
const latestMs = 3_000;
/** Spreads neighbouring seeds, whose first numbers are alike, and keeps apart from those of everything else in a run. */
const seedFactor = 0x9e37_79b1;

/**
 * Draws whether a run orders a roll-out, and which.
 *
 * @param seed - of the run
 * @param services - that may be rolled out
 * @returns the roll-out, or `undefined` for a run without one
 */
export function planRollout(seed: number, services: readonly string[]): PlannedRollout | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= rolloutShare) {
        return undefined;
    }
    return {
        atMs: random.next() * latestMs,
        service: services[random.nextInt(services.length)] ?? "",
        isBad: random.next() < 0.5,
    };
}
