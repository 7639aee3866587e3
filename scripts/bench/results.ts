import { type OutcomeCounts, type Percentiles } from "@galenaglade/stand-ins";

/** How the requests of one kind of caller went in one run. */
export interface KindResult {
    readonly counts: OutcomeCounts;
    readonly latency: Percentiles;
    readonly refusal: Percentiles;
}

/** One variant under one load in one round. */
export interface RunResult {
    readonly round: number;
    readonly variant: string;
    readonly load: string;
    /** By `service/callerKind`. */
    readonly kinds: Readonly<Record<string, KindResult>>;
    /** Processor time of all gateways for one request that went through them. */
    readonly gatewayCpuMsPerRequest: number;
    /** Resident memory of the largest gateway. */
    readonly gatewayRssMegabytes: number;
    readonly storeReadsPerSecond: number;
    readonly storeWritesPerSecond: number;
    /** Load average of the machine over the last minute, for telling a quiet run from a busy one. */
    readonly machineLoad: number;
    /** What went wrong outside of the requests; a run that has any is not to be trusted. */
    readonly faults: readonly string[];
}

/** A whole run of the bench. */
export interface BenchResults {
    readonly startedAt: string;
    /** Fewer gateways, backend servers, rounds or seconds than the full size. */
    readonly partial: boolean;
    readonly gateways: number;
    readonly backendServers: number;
    readonly secondsPerRun: number;
    readonly seed: number;
    readonly processors: number;
    readonly capacityPerSecond: number;
    readonly runs: readonly RunResult[];
}

/** The least, middle and greatest of some figures. */
export interface Spread {
    readonly min: number;
    readonly median: number;
    readonly max: number;
}

/** @returns the spread; not-a-number where there are no figures */
export function resolveSpread(figures: readonly number[]): Spread {
    const sorted = figures.toSorted((a, b) => a - b);
    const middle = Math.floor(sorted.length / 2);
    const upper = sorted[middle] ?? NaN;
    const median = sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? NaN) + upper) / 2;
    return { min: sorted[0] ?? NaN, median, max: sorted.at(-1) ?? NaN };
}

/** Reads one figure of a kind's result. */
export type ReadFigure = (result: KindResult) => number;

/**
 * A figure over the rounds, as it is and as ratio to the baseline of the same round.
 *
 * @param runs - all runs
 * @param load - name of the load
 * @param kind - `service/callerKind`
 * @param variant - the variant
 * @param baseline - the variant that it is compared with
 * @param read - which figure
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
