import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { drawWorkMs } from "../backendServer/workTime.js";
import { type CallerMixEntry, type CallerPlan } from "./callerPlan.js";

/** One request, as it is to be sent whatever became of those before it. */
export interface ScheduledRequest {
    readonly requestId: string;
    /** Milliseconds from the start of the run. */
    readonly atMs: number;
    readonly mix: CallerMixEntry;
    readonly target: string;
    readonly workMs: number;
    readonly idempotencyKey: string | undefined;
}

/**
 * Draws every request of a plan: Poisson arrivals, and the same requests for the same seed whatever is measured.
 *
 * @param plan - rates, mix and seed
 * @returns requests in the order of their time
 */
export function* generateSchedule(plan: CallerPlan): Generator<ScheduledRequest, void> {
    const random = createRandomSource(plan.seed);
    let phaseStartMs = 0;
    let count = 0;
    for (const phase of plan.phases) {
        const weights = plan.mix.map(mix =>
            phase.surge?.service === mix.service ? mix.weight * phase.surge.factor : mix.weight
        );
        const endMs = phaseStartMs + phase.durationMs;
        let atMs = phaseStartMs + drawGapMs(phase.requestsPerSecond, random);
        while (atMs < endMs) {
            if (count >= plan.maximumRequests) {
                return;
            }
            const mix = drawMix(plan.mix, weights, random);
            const targets = mix.targets ?? plan.targets;
            const requestId = `${plan.name}-${++count}`;
            yield {
                requestId,
                atMs,
                mix,
                target: targets[random.nextInt(targets.length)] ?? "",
                workMs: drawWorkMs(mix.work, random),
                idempotencyKey: mix.keyed ? `key-${requestId}` : undefined,
            };
            atMs += drawGapMs(phase.requestsPerSecond, random);
        }
        phaseStartMs = endMs;
    }
}

function drawGapMs(perSecond: number, random: RandomSource): number {
    return -Math.log(1 - random.next()) * 1_000 / perSecond;
}

function drawMix(mixes: readonly CallerMixEntry[], weights: readonly number[], random: RandomSource): CallerMixEntry {
    let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [i, mix] of mixes.entries()) {
        left -= weights[i] ?? 0;
        if (left < 0) {
            return mix;
        }
    }
    return mixes.at(-1) as CallerMixEntry;
}
