import { type RandomSource } from "@galenaglade/routing";

/** Log-normal distribution of the work time of requests. */
export interface WorkTimeDistribution {
    readonly medianMs: number;
    /** Standard deviation of the logarithm: 0 always gives the median; with 0.5, the p99 is about 3.2 medians. */
    readonly sigma: number;
}

/** Draws a work time from a log-normal distribution, using the Box-Muller transform. @returns milliseconds */
export function drawWorkMs({ medianMs, sigma }: WorkTimeDistribution, random: RandomSource): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
    const normal = radius * Math.cos(2 * Math.PI * random.next());
    return medianMs * Math.exp(sigma * normal);
}
