import { type BenchResults, compareRounds, type Spread } from "./results.js";

const width = 760;
const barHeight = 16;
const rowHeight = 24;
const titleHeight = 44;
const labelWidth = 190;
const figureWidth = 150;

/**
 * Plots the p99 latency of one caller kind under one load: a bar for the median, a line from minimum to maximum.
 *
 * @param results - results of a benchmark
 * @param load - name of the load
 * @param kind - `service/callerKind`
 * @returns an SVG document
 */
export function renderPlot(results: BenchResults, load: string, kind: string): string {
    const variants = [...new Set(results.runs.filter(run => run.load === load).map(run => run.variant))];
    const rows = variants.map(variant => ({
        variant,
        spread: compareRounds(results.runs, load, kind, variant, variant, result => result.latency.p99).figure,
    }));
    const maxFigure = Math.max(...rows.map(row => row.spread.max));
    const scale = (width - labelWidth - figureWidth) / maxFigure;
    const height = titleHeight + rows.length * rowHeight;
    const size = results.partial ? "partial run" : "full run";
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="13">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        `<text x="8" y="20" font-weight="bold">p99 in ms: ${load}, ${kind} (${size})</text>`,
        ...rows.map(({ variant, spread }, i) => renderRow(variant, spread, scale, titleHeight + i * rowHeight)),
        "</svg>",
        "",
    ].join("\n");
}

function renderRow(variant: string, { min, median, max }: Spread, scale: number, top: number): string {
    const x = (figure: number): string => (labelWidth + figure * scale).toFixed(1);
    const middle = top + barHeight / 2;
    const text = `${min.toFixed(0)} / ${median.toFixed(0)} / ${max.toFixed(0)}`;
    return [
        `<text x="8" y="${top + 13}">${variant}</text>`,
        `<rect x="${labelWidth}" y="${top}" width="${
            (median * scale).toFixed(1)
        }" height="${barHeight}" fill="#8fb3d9"/>`,
        `<line x1="${x(min)}" x2="${x(max)}" y1="${middle}" y2="${middle}" stroke="black" stroke-width="2"/>`,
        `<text x="${width - figureWidth + 8}" y="${top + 13}">${text}</text>`,
    ].join("\n");
}
