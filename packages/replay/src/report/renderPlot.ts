import { type ReplayReport, type ReplayWindow } from "./fleetRecorder.js";

interface Panel {
    readonly title: string;
    /** Maximum of the scale; `undefined` to use the largest value. */
    readonly top: number | undefined;
    readonly valueOf: (window: ReplayWindow) => number;
}

const width = 760;
const panelHeight = 110;
const margin = { left: 56, right: 16, top: 34, bottom: 18 };
const colors = ["#1f5fa8", "#c2571a"];

const panels: readonly Panel[] = [
    { title: "share within objective", top: 1, valueOf: ({ inTime, asked }) => inTime / Math.max(1, asked) },
    { title: "share refused", top: undefined, valueOf: ({ refused, asked }) => refused / Math.max(1, asked) },
    { title: "load probes per server and second", top: undefined, valueOf: ({ probes }) => probes },
    { title: "share of busy slots", top: 1, valueOf: ({ slots }) => slots },
];

/**
 * Plots the outcomes of callers, the load probes and the busy slots over time.
 *
 * @param reports - the report of a scenario, or those of two variants of it
 * @returns an SVG document
 */
export function renderPlot(reports: readonly ReplayReport[]): string {
    const height = panels.length * (panelHeight + margin.top + margin.bottom) + margin.top;
    const title = reports[0] === undefined ? "" : `${reports[0].scenario}, seed ${reports[0].seed}`;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${width} ${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${width}" height="${height}" fill="white"/>`,
        `<text x="8" y="18" font-weight="bold">${escapeText(title)}</text>`,
        ...panels.flatMap((panel, i) =>
            renderPanel(panel, reports, margin.top + i * (panelHeight + margin.top + margin.bottom))
        ),
        "</svg>",
        "",
    ].join("\n");
}

function renderPanel({ title, top, valueOf }: Panel, reports: readonly ReplayReport[], y: number): readonly string[] {
    const all = reports.flatMap(({ windows }) => windows.map(valueOf));
    const max = top ?? Math.max(Number.EPSILON, ...all);
    const bottom = y + margin.top + panelHeight;
    const right = width - margin.right;
    return [
        `<text x="${margin.left}" y="${y + margin.top - 8}">${title}</text>`,
        `<text x="8" y="${y + margin.top + 8}">${max.toFixed(2)}</text>`,
        `<line x1="${margin.left}" y1="${bottom}" x2="${right}" y2="${bottom}" stroke="black"/>`,
        ...reports.map(({ windows }, i) => {
            const last = Math.max(...windows.map(({ fromSeconds }) => fromSeconds), Number.EPSILON);
            const points = windows.map(window => {
                const x = margin.left + window.fromSeconds / last * (right - margin.left);
                return `${x.toFixed(1)},${(bottom - valueOf(window) / max * panelHeight).toFixed(1)}`;
            });
            return `<polyline fill="none" stroke="${colors[i] ?? "black"}" stroke-width="2" points="${
                points.join(" ")
            }"/>`;
        }),
    ];
}

function escapeText(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
