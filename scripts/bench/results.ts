import { type OutcomeCounts, type Percentiles } from "@galenaglade/stand-ins";

/** Results of the requests of one caller kind in one run. */
export interface KindResult {
    readonly counts: OutcomeCounts;
    readonly latency: Percentiles;
    readonly refusal: Percentiles;
}

/** Results of one variant under one load in one round. */
export interface RunResult {
    readonly round: number;
    readonly variant: string;
    readonly load: string;
    /** By `service/callerKind`. */
    readonly kinds: Readonly<Record<string, KindResult>>;
    /** Processor time of all gateways per request that they handled. */
    readonly gatewayCpuMsPerRequest: number;
    /** Resident memory of the largest gateway. */
    readonly gatewayRssMegabytes: number;
    readonly storeReadsPerSecond: number;
    readonly storeWritesPerSecond: number;
    /** One-minute load average of the machine, to distinguish runs on an idle machine from those on a busy one. */
    readonly machineLoad: number;
    /** Faults of the measurement itself; a run with any is unreliable. */
    readonly faults: readonly string[];
}

/** Results of a benchmark. */
export interface BenchResults {
    readonly startedAt: string;
    /** Whether the benchmark had fewer gateways, backend servers, rounds, seconds or loads than a full run. */
    readonly partial: boolean;
    readonly gateways: number;
    readonly backendServers: number;
    readonly secondsPerRun: number;
    readonly seed: number;
    readonly processors: number;
    readonly capacityPerSecond: number;
    readonly runs: readonly RunResult[];
}

/** Minimum, median and maximum of some figures. */
export interface Spread {
    readonly min: number;
    readonly median: number;
    readonly max: number;
}

/** @returns the spread; NaN if there are no figures */
export function resolveSpread(figures: readonly number[]): Spread {
    const sorted = figures.toSorted((a, b) => a - b);
    const middle = Math.floor(sorted.length / 2);
    const upper = sorted[middle] ?? NaN;
    const median = sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
    return { min: sorted[0] ?? NaN, median, max: sorted.at(-1) ?? NaN };
}

/** Reads one figure of the result of a caller kind. */
export type ReadFigure = (result: KindResult) => number;

/**
 * Aggregates a figure over the rounds, both as an absolute value and as a ratio to the baseline of the same round.
 *
 * @param runs - all runs
 * @param load - name of the load
 * @param kind - `service/callerKind`
 * @param variant - name of the variant
 * @param baseline - name of the variant to compare it with
 * @param read - reads the figure
 */
export function compareRounds(
    runs: readonly RunResult[],
    load: string,
    kind: string,
    variant: string,
    baseline: string,
    read: ReadFigure,
): { readonly figure: Spread; readonly ratio: Spread; } {
    const figures: number[] = [];
    const ratios: number[] = [];
    for (const run of runs) {
        const result = run.kinds[kind];
        if (run.load !== load || run.variant !== variant || result === undefined) {
            continue;
        }
        figures.push(read(result));
        const paired = runs.find(other =>
            other.load === load && other.variant === baseline && other.round === run.round
        );
        const base = paired?.kinds[kind];
        if (base !== undefined) {
            ratios.push(read(result) / read(base));
        }
    }
    return { figure: resolveSpread(figures), ratio: resolveSpread(ratios) };
}
