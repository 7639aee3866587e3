import { createRandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";

/** A caller that leaves while its requests are outstanding on one connection. */
export interface PlannedLeavingCaller {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly requests: number;
    readonly idempotent: boolean;
    /** Mean work that each request asks for, in milliseconds. */
    readonly workMs: number;
    /** Bytes of the last request's body; 0 for a request without one. */
    readonly bodyBytes: number;
    /** Time from its requests until it leaves, in milliseconds. */
    readonly leavesAfterMs: number;
    readonly way: "closed" | "reset" | "closedForWriting";
}

const maxCallers = 40;
const maxRequests = 16;
const idempotentShare = 0.7;
const longBodyShare = 0.3;
const minBodyBytes = 1_100_000;
const maxBodyBytes = 8_000_000;
const maxWorkMs = 3_000;
const maxStayMs = 1_200;
/** Share of the callers that leave as soon as they have sent. */
const atOnceShare = 0.2;
const ways = ["closed", "reset", "closedForWriting"] as const;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x2c1_9e35;

/**
 * Draws the callers of a run that leave.
 *
 * @param seed - seed of the run
 * @returns the callers
 */
export function planLeavingCallers(seed: number): readonly PlannedLeavingCaller[] {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    return Array.from({ length: maxCallers }, () => ({
        atMs: random.next() * faultPhaseMs,
        requests: 1 + random.nextInt(maxRequests),
        idempotent: random.next() < idempotentShare,
        workMs: random.nextInt(maxWorkMs),
        bodyBytes: random.next() < longBodyShare
            ? Math.floor(minBodyBytes + (maxBodyBytes - minBodyBytes) * random.next())
            : 0,
        leavesAfterMs: random.next() < atOnceShare ? 0 : random.next() * maxStayMs,
        way: ways[random.nextInt(ways.length)] ?? "closed",
    }));
}
