import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A server that rejects all requests for some time and asks each gateway to back off. */
export interface PlannedBackoff {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the server, modulo the number of servers. */
    readonly target: number;
    readonly backoffSeconds: number;
}

/** A server that announces in its responses that it is leaving, until it ends, but never in the store. */
export interface PlannedLeaving {
    readonly atMs: number;
    readonly target: number;
}

/** The metadata that servers of a run send in their responses. */
export interface PlannedServerMetadata {
    readonly backoff: PlannedBackoff | undefined;
    readonly leaving: PlannedLeaving | undefined;
}

const backoffShare = 0.4;
const leavingShare = 0.3;
const maxStartMs = 4_000;
const minDurationMs = 3_000;
const minBackoffSeconds = 0.8;
const maxBackoffSeconds = 3.2;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x27d4_eb2f;

/**
 * Draws the metadata that servers of a run send in their responses.
 *
 * @param seed - seed of the run
 * @returns the plan; the same for the same seed
 */
export function planServerMetadata(seed: number): PlannedServerMetadata {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const hasBackoff = random.next() < backoffShare;
    const hasLeaving = random.next() < leavingShare;
    const atMs = random.next() * maxStartMs;
    const seconds = minBackoffSeconds + (maxBackoffSeconds - minBackoffSeconds) * random.next();
    const backoff: PlannedBackoff = {
        atMs,
        durationMs: minDurationMs + random.next() * (faultPhaseMs - minDurationMs - atMs),
        target: random.nextInt(1_000),
        backoffSeconds: Math.round(10 * seconds) / 10,
    };
    const leaving: PlannedLeaving = { atMs: random.next() * maxStartMs, target: random.nextInt(1_000) };
    return { backoff: hasBackoff ? backoff : undefined, leaving: hasLeaving ? leaving : undefined };
}
