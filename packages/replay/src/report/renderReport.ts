import { type ReplayReport } from "./fleetRecorder.js";

/**
 * Renders a replay's report as text.
 *
 * @param report - the report
 * @returns several lines of text
 */
export function renderReport(report: ReplayReport): string {
    const { kinds, windows } = report;
    return [
        `${report.scenario}, seed ${report.seed}: ${report.callers} callers, ${percent(report.inTime)} in time, `
        + `worst windows ${percent(report.worstWindows)}, refused ${percent(report.refused)}`,
        `load probes ${report.probesPerCaller.toFixed(2)} and new connections ${
            report.connectionsPerCaller.toFixed(2)
        } per caller; `
        + `maximum ${report.mostProbes} probes of a server in ten seconds, ${report.mostColdArrivals} requests to a cold server in one second, `
        + `${report.mostLimitedArrivals} to a server with a limit in four seconds`
        + ` (${report.limitedArrivals} in all, ${report.untoldArrivals} from gateways without the limit)`,
        "",
        renderTable(
            ["kind", "asked", "in time", "p50 ms", "p99 ms"],
            kinds.map(({ name, asked, inTime, p50, p99 }) => [name, `${asked}`, percent(inTime), `${p50}`, `${p99}`]),
        ),
        "",
        renderTable(
            ["from second", "asked", "in time", "late", "refused", "failed", "probes", "slots"],
            windows.map(window => [
                `${window.fromSeconds}`,
                `${window.asked}`,
                percent(window.inTime / Math.max(1, window.asked)),
                `${window.late}`,
                `${window.refused}`,
                `${window.failed}`,
                window.probes.toFixed(2),
                percent(window.slots),
            ]),
        ),
        "",
    ].join("\n");
}

/**
 * Renders the results of two policy variants side by side, one row per seed.
 *
 * @param pairs - reports of the first and the second variant for the same scenario and seed
 * @returns several lines of text
 */
export function renderComparison(pairs: readonly (readonly [ReplayReport, ReplayReport])[]): string {
    const rows = pairs.map(([a, b]) => [
        `${a.seed}`,
        ...[a.inTime, b.inTime, a.worstWindows, b.worstWindows, a.refused, b.refused].map(percent),
        ...[a.probesPerCaller, b.probesPerCaller, a.connectionsPerCaller, b.connectionsPerCaller].map(each =>
            each.toFixed(2)
        ),
    ]);
    const columns = ["in time", "worst windows", "refused", "probes", "connections"];
    return `${renderTable(["seed", ...columns.flatMap(column => [column, "variant"])], rows)}\n`;
}

function renderTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = header.map((title, i) => Math.max(title.length, ...rows.map(row => (row[i] ?? "").length)));
    return [header, ...rows]
        .map(row =>
            row.map((cell, i) => i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0)).join("  ")
        )
        .join("\n");
}

function percent(share: number): string {
    return `${(share * 100).toFixed(1)}%`;
}
