import {
    type BenchResults,
    compareRounds,
    type KindResult,
    type ReadFigure,
    resolveSpread,
    type Spread,
} from "./results.js";

/** A column of the table. */
interface Column {
    readonly title: string;
    readonly read: ReadFigure;
    readonly digits: number;
}

const perCent = 100;

const columns: readonly Column[] = [
    { title: "p50 ms", read: result => result.latency.p50, digits: 1 },
    { title: "p99 ms", read: result => result.latency.p99, digits: 1 },
    { title: "p99.9 ms", read: result => result.latency.p999, digits: 1 },
    { title: "within patience %", read: readWithinPatience, digits: 2 },
    { title: "refused %", read: ({ counts }) => counts.refused / counts.sent * perCent, digits: 2 },
];

function readWithinPatience({ counts }: KindResult): number {
    return counts.withinPatience / counts.sent * perCent;
}

/**
 * Renders the figures as a text table: each as minimum/median/maximum over the rounds, and the p99 also as a ratio to
 * that of the baseline in the same round.
 *
 * @param results - results of a benchmark
 * @param baseline - name of the variant that others are compared with
 */
export function renderTable(results: BenchResults, baseline: string): string {
    const lines = [describe(results)];
    for (const load of distinct(results.runs.map(run => run.load))) {
        const runs = results.runs.filter(run => run.load === load);
        const variants = distinct(runs.map(run => run.variant));
        for (const kind of distinct(runs.flatMap(run => Object.keys(run.kinds)))) {
            lines.push("", `${load}, ${kind}`);
            const titles = columns.map(column => column.title);
            const rows = [["variant", ...titles, `p99 to ${baseline}`]];
            for (const variant of variants) {
                const compare = (read: ReadFigure) => compareRounds(runs, load, kind, variant, baseline, read);
                const figures = columns.map(({ read, digits }) => format(compare(read).figure, digits));
                rows.push([variant, ...figures, format(compare(result => result.latency.p99).ratio, 2)]);
            }
            lines.push(...align(rows));
        }
        lines.push("", `${load}, gateways and store`, ...align(renderCosts(results, load, variants)));
    }
    const faults = results.runs.flatMap(run =>
        run.faults.map(fault => `round ${run.round}, ${run.load}, ${run.variant}: ${fault}`)
    );
    return [...lines, "", faults.length === 0 ? "No faults in these runs." : "Faults:", ...faults, ""].join("\n");
}

function describe(results: BenchResults): string {
    const { gateways, backendServers, secondsPerRun, seed, processors, capacityPerSecond } = results;
    const rounds = new Set(results.runs.map(run => run.round)).size;
    const size = results.partial ? "PARTIAL run" : "Full run";
    return `${size} of ${results.startedAt}: ${gateways} gateways, ${backendServers} backend servers, ${rounds} rounds, `
        + `${secondsPerRun} s each, seed ${seed}, ${processors} processors, `
        + `${capacityPerSecond.toFixed(0)} requests/s fill every slot. Figures are minimum/median/maximum over rounds.`;
}

function renderCosts(results: BenchResults, load: string, variants: readonly string[]): string[][] {
    const titles = ["variant", "CPU ms/request", "RSS MB", "store reads/s", "store writes/s", "machine load"];
    const rows = [titles];
    for (const variant of variants) {
        const runs = results.runs.filter(run => run.load === load && run.variant === variant);
        rows.push([
            variant,
            format(resolveSpread(runs.map(run => run.gatewayCpuMsPerRequest)), 2),
            format(resolveSpread(runs.map(run => run.gatewayRssMegabytes)), 0),
            format(resolveSpread(runs.map(run => run.storeReadsPerSecond)), 1),
            format(resolveSpread(runs.map(run => run.storeWritesPerSecond)), 1),
            format(resolveSpread(runs.map(run => run.machineLoad)), 1),
        ]);
    }
    return rows;
}

function format({ min, median, max }: Spread, digits: number): string {
    return [min, median, max].map(figure => figure.toFixed(digits)).join("/");
}

function align(rows: readonly (readonly string[])[]): string[] {
    const widths = (rows[0] ?? []).map((_, i) => Math.max(...rows.map(row => row[i]?.length ?? 0)));
    return rows.map(row => row.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join("  ").trimEnd());
}

function distinct(names: readonly string[]): readonly string[] {
    return [...new Set(names)];
}
