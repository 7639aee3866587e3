import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { faultPhaseMs } from "./constants.js";
import { type Fault, type FaultKind } from "./faults.js";
import { garbledFramings, garbledWays, type Garbling, isTellable } from "./garbledResponses.js";
import { type PipeliningBehavior } from "./pipeliningCaller.js";

/** A server that garbles its responses for a while. */
export interface PlannedGarbling {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    readonly durationMs: number;
    /** Index of the server, modulo their number. */
    readonly target: number;
    readonly garbling: Garbling;
}

/** Servers that garble their responses, what happens beside it, and callers on connections that they keep. */
export interface GarbledResponsePlan {
    readonly garblings: readonly PlannedGarbling[];
    readonly faults: readonly Fault[];
    readonly callers: readonly PipeliningBehavior[];
}

/** Kinds of fault beside the garbled responses: how many of each, and their durations in milliseconds. */
const faultKinds: Partial<Record<FaultKind, { count: number; minDurationMs: number; maxDurationMs: number; }>> = {
    edgePause: { count: 24, minDurationMs: 30, maxDurationMs: 1_500 },
    serverLink: { count: 4, minDurationMs: 20, maxDurationMs: 200 },
    serverKill: { count: 1, minDurationMs: 500, maxDurationMs: 1_000 },
    edgeTerm: { count: 1, minDurationMs: 300, maxDurationMs: 1_000 },
};

const garblingCount = 24;
const minGarblingMs = 1_000;
const maxGarblingMs = 5_000;
const minShare = 0.2;
const maxShare = 0.6;
const maxTarget = 1_000;
const callerCount = 8;
const maxDepth = 5;
/** Bytes of a short response, and of one that is longer than what gateways buffer. */
const minShortBytes = 200;
const maxShortBytes = 30_000;
const minLongBytes = 262_145;
const maxLongBytes = 540_000;
const longCallerShare = 0.3;
const uploadingShare = 0.25;
const slowReaderShare = 0.25;
const meanWorkMs = 20;
const meanThinkMs = 150;
const readPauseMs = 5;
/** Pauses within a response, in milliseconds. */
const pausesMs = [0, 5, 40, 300] as const;
/** Pause of a server that stutters, in milliseconds. */
const stutterPauseMs = 40;
/** Seed multiplier. Decorrelates adjacent seeds, and this plan from the other random choices of a run. */
const seedFactor = 0x5bd1_e995;

/**
 * Draws the garbled responses of a run.
 *
 * @param seed - seed of the run
 * @returns the plan
 */
export function planGarbledResponses(seed: number): GarbledResponsePlan {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    return {
        garblings: Array.from({ length: garblingCount }, () => drawGarbling(random)),
        faults: Object.entries(faultKinds).flatMap(([kind, options]) =>
            Array.from({ length: options.count }, (): Fault => {
                const atMs = random.next() * faultPhaseMs;
                const durationMs = drawBetween(random, options.minDurationMs, options.maxDurationMs);
                return {
                    kind: kind as FaultKind,
                    atMs,
                    durationMs: Math.min(durationMs, faultPhaseMs - atMs),
                    target: random.nextInt(maxTarget),
                    linkFault: "reset",
                };
            })
        ),
        callers: Array.from({ length: callerCount }, () => drawCaller(random)),
    };
}

function drawGarbling(random: RandomSource): PlannedGarbling {
    const atMs = random.next() * faultPhaseMs;
    return {
        atMs,
        durationMs: Math.min(drawBetween(random, minGarblingMs, maxGarblingMs), faultPhaseMs - atMs),
        target: random.nextInt(maxTarget),
        garbling: { ...drawKind(random), share: drawBetween(random, minShare, maxShare) },
    };
}

function drawKind(random: RandomSource): Pick<Garbling, "way" | "framing" | "pauseMs"> {
    const way = garbledWays[random.nextInt(garbledWays.length)] ?? "whole";
    const framings = garbledFramings.filter(framing => isTellable({ way, framing }));
    const framing = framings[random.nextInt(framings.length)] ?? "length";
    const pauseMs = pausesMs[random.nextInt(pausesMs.length)] ?? 0;
    return { way, framing, pauseMs: way === "stutter" ? stutterPauseMs : pauseMs };
}

function drawCaller(random: RandomSource): PipeliningBehavior {
    const isLong = random.next() < longCallerShare;
    return {
        depth: 1 + random.nextInt(maxDepth),
        workMs: meanWorkMs,
        responseBytes: Math.floor(
            isLong
                ? drawBetween(random, minLongBytes, maxLongBytes)
                : drawBetween(random, minShortBytes, maxShortBytes),
        ),
        thinkMs: meanThinkMs,
        ignoresClose: false,
        uploads: random.next() < uploadingShare,
        readPauseMs: random.next() < slowReaderShare ? readPauseMs : 0,
        isSticky: false,
    };
}

function drawBetween(random: RandomSource, min: number, max: number): number {
    return min + (max - min) * random.next();
}
