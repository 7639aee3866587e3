import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { edgeCount } from "./constants.js";
import { type PipeliningBehavior } from "./pipeliningCaller.js";

/** A planned stop of one gateway. */
export interface PlannedStop {
    /** Milliseconds after the load begins. */
    readonly atMs: number;
    /** Index of the gateway. */
    readonly target: number;
    /** Time from the end of the process until its next start, in milliseconds. */
    readonly downMs: number;
    /** Delays after the signal at which it is sent again, or SIGHUP is sent, in milliseconds. */
    readonly againAfterMs: number | undefined;
    readonly hangUpAfterMs: number | undefined;
}

/** A run whose only disruptions are planned: stops, reloads and configurations. */
export interface StopDrillPlan {
    /** Grace period of each stop, in milliseconds. */
    readonly graceMs: number;
    readonly callers: readonly PipeliningBehavior[];
    readonly stops: readonly PlannedStop[];
    /** When configurations are written, in milliseconds after the load begins. */
    readonly configureAtMs: readonly number[];
    /** When the callers stop sending, in milliseconds after the load begins. */
    readonly endAtMs: number;
}

const graceChoicesMs = [6_000, 6_000, 6_000, 2_000];
const callerCounts = [6, 12, 24, 48, 96, 192];
const workChoicesMs = [60, 120, 400, 900];
const responseChoicesBytes = [1_500, 1_500, 20_000, 80_000, 200_000];
const depthChoices = [1, 1, 2, 3, 4, 8];
const thinkChoicesMs = [0, 20, 150, 600];
const firstStopMs = 1_500;
const pairGapMs = 800;
const rollGapMs = 1_000;
const maxDownMs = 1_500;
/** Time of the load after the end of the last stop. */
const settleMs = 2_500;
const seedFactor = 0x1b87_3593;

/**
 * Draws a run of planned stops: in pairs within a second, or of all gateways one after the other.
 *
 * @param seed - seed of the run; the same seed draws the same plan
 * @returns the plan
 */
export function planStopDrill(seed: number): StopDrillPlan {
    const random = createRandomSource(Math.imul(seed, seedFactor));
    const pick = <T>(choices: readonly T[]): T => choices[random.nextInt(choices.length)] as T;
    const graceMs = pick(graceChoicesMs);
    const [workMs, responseBytes] = [pick(workChoicesMs), pick(responseChoicesBytes)];
    const callers = Array.from({ length: pick(callerCounts) }, () => ({
        depth: pick(depthChoices),
        workMs,
        responseBytes,
        thinkMs: pick(thinkChoicesMs),
        ignoresClose: random.next() < 0.5,
        uploads: random.next() < 0.15,
        readPauseMs: random.next() < 0.15 ? 10 : 0,
        isSticky: random.next() < 0.4,
    }));
    const stops = random.next() < 0.6 ? drawPairs(random, graceMs) : drawRoll(random);
    const lastAtMs = Math.max(...stops.map(({ atMs }) => atMs));
    return {
        graceMs,
        callers,
        stops,
        configureAtMs: Array.from({ length: random.nextInt(4) }, () => firstStopMs + random.next() * lastAtMs),
        endAtMs: lastAtMs + graceMs + settleMs,
    };
}

function drawPairs(random: RandomSource, graceMs: number): readonly PlannedStop[] {
    const first = random.nextInt(edgeCount);
    return [0, 1].flatMap(round => {
        const atMs = firstStopMs + round * (graceMs + maxDownMs + settleMs);
        return [0, 1].map(i => drawStop(random, atMs + i * random.next() * pairGapMs, first + 2 * round + i));
    });
}

function drawRoll(random: RandomSource): readonly PlannedStop[] {
    return Array.from({ length: edgeCount }, (_, i) => drawStop(random, firstStopMs + i * rollGapMs, i));
}

function drawStop(random: RandomSource, atMs: number, target: number): PlannedStop {
    const [again, hangUp] = [random.next(), random.next()];
    return {
        atMs,
        target: target % edgeCount,
        downMs: 200 + random.next() * (maxDownMs - 200),
        againAfterMs: again < 0.3 ? again * 2_000 : undefined,
        hangUpAfterMs: hangUp < 0.3 ? hangUp * 2_000 : undefined,
    };
}
