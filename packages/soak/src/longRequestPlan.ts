import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A long request, which its server answers before it has read the body, with short ones behind it on the connection. */
export interface PlannedLongRequest {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly bodyBytes: number;
    /** Bytes that are sent at once; the rest follows after the pause. */
    readonly firstBytes: number;
    readonly pauseMs: number;
    /** Number of short requests behind it. */
    readonly followers: number;
}

const longRequestsShare = 0.5;
const maxRequests = 30;
const minBodyBytes = 1_100_000;
const maxBodyBytes = 8_000_000;
/** Exponent that makes most bodies short. */
const bodySizeExponent = 3;
const pauseShare = 0.3;
const maxPauseMs = 900;
const maxFollowers = 4;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x0f3_4ab5;

/**
 * Draws the long requests of a run.
 *
 * @param seed - seed of the run
 * @returns the requests; empty for a run without them
 */
export function planLongRequests(seed: number): readonly PlannedLongRequest[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    if (random.next() >= longRequestsShare) {
        return [];
    }
    return Array.from({ length: 1 + random.nextInt(maxRequests) }, () => {
        const bodyBytes = Math.floor(minBodyBytes + (maxBodyBytes - minBodyBytes) * random.next() ** bodySizeExponent);
        const pauses = random.next() < pauseShare;
        return {
            atMs: random.next() * faultPhaseMs,
            bodyBytes,
            firstBytes: pauses ? Math.floor(bodyBytes * random.next()) : bodyBytes,
            pauseMs: random.next() * maxPauseMs,
            followers: 1 + random.nextInt(maxFollowers),
        };
    });
}
