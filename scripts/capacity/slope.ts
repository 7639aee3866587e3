/** A value measured at one size. */
export interface Sample {
    readonly size: number;
    readonly value: number;
}

/** The fitted line of a quantity: its increase per unit of size, with the spread over the rounds. */
export interface Slope {
    readonly perUnit: { readonly minimum: number; readonly median: number; readonly maximum: number; };
    /** Value at size zero, of the round with the median slope. */
    readonly fixed: number;
}

interface Line {
    readonly perUnit: number;
    readonly fixed: number;
}

/** Fits a line to samples by least squares. */
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
 * Fits a line to each round separately, so that the page can show the spread over the rounds.
 *
 * @param rounds - samples of each round, at four sizes or more
 * @returns the median slope and its range
 * @throws Error if there is no round
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
