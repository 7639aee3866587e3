import { createRandomSource } from "@galenaglade/routing";

/** A rollout that takes place alongside the faults of a run. */
export interface PlannedRollout {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly service: string;
    /** Whether the new version is bad: half of its requests fail. */
    readonly isBad: boolean;
}

const rolloutShare = 0.5;
const maxStartMs = 3_000;
/**
 * Seed multiplier. Adjacent seeds would have similar first random numbers, and the plans of a run must be independent
 * of each other.
 */
const seedFactor = 0x9e37_79b1;

/**
 * Draws whether a run has a rollout, and of which service and quality.
 *
 * @param seed - seed of the run
 * @param services - services that may be rolled out
 * @returns the rollout, or `undefined` for a run without one
 */
export function planRollout(seed: number, services: readonly string[]): PlannedRollout | undefined {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= rolloutShare) {
        return undefined;
    }
    return {
        atMs: random.next() * maxStartMs,
        service: services[random.nextInt(services.length)] ?? "",
        isBad: random.next() < 0.5,
    };
}
