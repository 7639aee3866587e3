/** One measured value at one size. */
export interface Sample {
    readonly size: number;
    readonly value: number;
}

/** What a quantity costs for each unit of size, with the spread over the rounds. */
export interface Slope {
    readonly perUnit: { readonly minimum: number; readonly median: number; readonly maximum: number; };
    /** Value at size zero, by the median round. */
    readonly fixed: number;
}

interface Line {
    readonly perUnit: number;
    readonly fixed: number;
}

/** Fits a straight line by least squares. */
export function fitLine(samples: readonly Sample[]): Line {
    const count = samples.length;
    const meanSize = sum(samples.map(sample => sample.size)) / count;
    const meanValue = sum(samples.map(sample => sample.value)) / count;
    const spread = sum(samples.map(sample => (sample.size - meanSize) ** 2));
    const shared = sum(samples.map(sample => (sample.size - meanSize) * (sample.value - meanValue)));
    const perUnit = shared / spread;
    return { perUnit, fixed: meanValue - perUnit * meanSize };
}

/**
 * Fits each round by itself, so that the page can show how far the rounds differ.
 *
 * @param rounds - samples of each round, at no fewer than four sizes
 */
export function fitSlope(rounds: readonly (readonly Sample[])[]): Slope {
    const lines = rounds.map(fitLine).sort((a, b) => a.perUnit - b.perUnit);
    const median = lines[Math.floor(lines.length / 2)];
    const first = lines[0];
    const last = lines[lines.length - 1];
    if (median === undefined || first === undefined || last === undefined) {
        throw new Error("a slope needs at least one round");
    }
    return {
        perUnit: { minimum: first.perUnit, median: median.perUnit, maximum: last.perUnit },
        fixed: median.fixed,
    };
}

function sum(values: readonly number[]): number {
    let total = 0;
    for (const value of values) {
        total += value;
    }
    return total;
}
