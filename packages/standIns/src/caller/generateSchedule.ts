import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { drawWorkMs } from "../backendServer/workTime.js";
import { type CallerMixEntry, type CallerPlan } from "./callerPlan.js";

/** One request, scheduled independently of the outcome of earlier requests. */
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
 * Generates the requests of a plan with Poisson arrivals. The same seed gives the same requests whatever the target.
 *
 * @param plan - rates, mix and seed
 * @returns requests in the order of their scheduled times
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
        let atMs = phaseStartMs + drawInterarrivalMs(phase.requestsPerSecond, random);
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
            atMs += drawInterarrivalMs(phase.requestsPerSecond, random);
        }
        phaseStartMs = endMs;
    }
}

function drawInterarrivalMs(perSecond: number, random: RandomSource): number {
    return -Math.log(1 - random.next()) * 1_000 / perSecond;
}

function drawMix(mixes: readonly CallerMixEntry[], weights: readonly number[], random: RandomSource): CallerMixEntry {
    let remaining = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
    for (const [i, mix] of mixes.entries()) {
        remaining -= weights[i] ?? 0;
        if (remaining < 0) {
            return mix;
        }
    }
    return mixes.at(-1) as CallerMixEntry;
}
