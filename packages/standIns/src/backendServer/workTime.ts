import { type RandomSource } from "@galenaglade/routing";

/** How long requests work. */
export interface WorkTimeDistribution {
    readonly medianMs: number;
    /** Spread of the logarithm: 0 is always the median, 0.5 has a 99th percentile of about 3.2 medians. */
    readonly sigma: number;
}

/** Draws work times, in milliseconds, from a log-normal distribution. */
export function drawWorkMs({ medianMs, sigma }: WorkTimeDistribution, random: RandomSource): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
    const normal = radius * Math.cos(2 * Math.PI * random.next());
    return medianMs * Math.exp(sigma * normal);
}
