import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A server of a run that turns gateways away for a while, and asks each for rest. */
export interface PlannedBackoff {
    /** Since callers were let in, in milliseconds. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Which server: taken modulo their number. */
    readonly target: number;
    readonly backoffSeconds: number;
}

/** A server of a run that says in its answers that it leaves, to its end, and never to the store. */
export interface PlannedLeaving {
    readonly atMs: number;
    readonly target: number;
}

/** What servers of a run say of themselves. */
export interface PlannedServerMetadata {
    readonly backoff: PlannedBackoff | undefined;
    readonly leaving: PlannedLeaving | undefined;
}

const restShare = 0.4;
const leavingShare = 0.3;
const latestMs = 4_000;
const shortestMs = 3_000;
const shortestRestSeconds = 0.8;
const longestRestSeconds = 3.2;
/** Spreads neighbouring seeds, and keeps apart from those of everything else in a run. */
const seedFactor = 0x27d4_eb2f;

/**
 * Draws what servers of a run say of themselves.
 *
 * @param seed - of the run
 * @returns the same for the same seed
 */
export function planServerMetadata(seed: number): PlannedServerMetadata {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const rests = random.next() < restShare;
    const leaves = random.next() < leavingShare;
    const atMs = random.next() * latestMs;
    const seconds = shortestRestSeconds + (longestRestSeconds - shortestRestSeconds) * random.next();
    const rest: PlannedBackoff = {
        atMs,
        durationMs: shortestMs + random.next() * (faultPhaseMs - shortestMs - atMs),
        target: random.nextInt(1_000),
        backoffSeconds: Math.round(10 * seconds) / 10,
    };
    const leaving: PlannedLeaving = { atMs: random.next() * latestMs, target: random.nextInt(1_000) };
    return { backoff: rests ? rest : undefined, leaving: leaves ? leaving : undefined };
}
