import { type CapacityResults, type Measurement } from "./measurement.js";
import { type Sample } from "./slope.js";
import { secondsPerDay, target } from "./target.js";

/** A generated table of the capacity page, between its markers. */
interface Section {
    readonly name: string;
    readonly render: (results: CapacityResults) => string;
}

/** Share of a gateway's core that is planned for requests; the rest is reserved for bursts and garbage collection. */
const usableCore = 0.6;

const sections: readonly Section[] = [
    { name: "slopes", render: renderSlopes },
    { name: "target", render: renderTarget },
    { name: "limits", render: renderLimits },
    { name: "samples", render: renderSamples },
];

/**
 * Regenerates the tables of the capacity page, so that they stay consistent with the measurements.
 *
 * @param page - text of the page, with a pair of markers for each table
 * @param results - the stored measurements
 * @returns the page with regenerated tables
 * @throws Error if a pair of markers is missing
 */
export function renderCapacityPage(page: string, results: CapacityResults): string {
    let text = page;
    for (const { name, render } of sections) {
        const begin = `<!-- generated: ${name} -->`;
        const end = `<!-- end: ${name} -->`;
        const from = text.indexOf(begin);
        const to = text.indexOf(end);
        if (from < 0 || to < from) {
            throw new Error(`the markers of table ${name} are missing on the page`);
        }
        text = `${text.slice(0, from + begin.length)}\n\n${render(results)}\n\n${text.slice(to)}`;
    }
    return text;
}

function find(results: CapacityResults, name: string): Measurement {
    const found = results.measurements.find(measurement => measurement.name === name);
    if (found === undefined) {
        throw new Error(`there is no measurement ${name}`);
    }
    return found;
}

function slopeOf(results: CapacityResults, name: string): number {
    return find(results, name).slope.perUnit.median;
}

/** @returns the median over the rounds of the value at the largest measured size */
function atLargest(results: CapacityResults, name: string): number {
    const values = find(results, name).rounds.map(round => round[round.length - 1]?.value ?? Number.NaN);
    return values.sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;
}

function table(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const line = (cells: readonly string[]): string => `| ${cells.join(" | ")} |`;
    return [line(head), line(head.map(() => "---")), ...rows.map(line)].join("\n");
}

function format(value: number): string {
    if (value === 0 || !Number.isFinite(value)) {
        return String(value);
    }
    const digits = Number.isInteger(value)
        ? String(value)
        : Math.abs(value) >= 100
        ? value.toFixed(0)
        : value.toPrecision(3);
    return digits.replace(/\B(?=(\d{3})+(?!\d))(?<!\.\d*)/g, ",");
}

function renderSlopes(results: CapacityResults): string {
    return table(
        ["measured", "slope (median)", "lowest and highest round", "fixed part", "sizes"],
        results.measurements.map(({ name, per, unit, rounds, slope }) => [
            `\`${name}\``,
            `${format(slope.perUnit.median)} ${unit} a ${per}`,
            `${format(slope.perUnit.minimum)} to ${format(slope.perUnit.maximum)}`,
            `${format(slope.fixed)} ${unit}`,
            (rounds[0] ?? []).map(sample => format(sample.size)).join(", "),
        ]),
    );
}

interface Sizing {
    readonly gateways: number;
    readonly gatewaysPerRegion: number;
    readonly changesPerSecond: number;
    readonly configurationBytes: number;
    readonly bytesPerChange: number;
}

function resolveSizing(results: CapacityResults): Sizing {
    const cpuMsPerRequest = slopeOf(results, "gatewayCpuPerRequest");
    const gateways = Math.ceil(target.callsPerSecond * cpuMsPerRequest / 1_000 / usableCore);
    const configurationBytes = slopeOf(results, "configurationBytesPerTarget") * target.targets;
    return {
        gateways,
        gatewaysPerRegion: Math.ceil(gateways / target.regions),
        changesPerSecond: target.changesPerDay / secondsPerDay,
        configurationBytes,
        bytesPerChange: configurationBytes / target.services,
    };
}

function renderTarget(results: CapacityResults): string {
    const sizing = resolveSizing(results);
    const storeCalls = atLargest(results, "storeCallsPerGateway");
    const memoryMb = slopeOf(results, "gatewayMemoryPerTarget") * target.targets / 1_048_576;
    const applyMs = slopeOf(results, "applyCpuPerTarget") * target.targets;
    const perServiceMs = applyMs / target.services;
    const rows = [
        [
            "gateway processes for all calls",
            `${format(sizing.gateways)}, or ${format(sizing.gatewaysPerRegion)} a region`,
            `${format(target.callsPerSecond)} calls/s x ${
                format(slopeOf(results, "gatewayCpuPerRequest"))
            } ms, each at ${usableCore * 100}% of its core`,
        ],
        [
            "heap for configuration and routing table",
            `${format(memoryMb)} MB a gateway`,
            `${format(target.targets)} targets x ${
                format(slopeOf(results, "gatewayMemoryPerTarget"))
            } bytes; limit for control ${target.controlMegabytes} MB`,
        ],
        [
            "whole configuration as one value",
            `${format(sizing.configurationBytes / 1e6)} MB`,
            `limit of the store ${format(target.storeValueBytes / 1e6)} MB`,
        ],
        [
            "processor time of control, whole configuration at each change",
            `${format(applyMs * sizing.changesPerSecond / 10)}% of a core`,
            `${format(applyMs)} ms x ${format(sizing.changesPerSecond)} changes/s; limit ${target.controlCorePercent}%`,
        ],
        [
            "the same, one service at each change",
            `${format(perServiceMs * sizing.changesPerSecond / 10)}% of a core`,
            `${format(perServiceMs)} ms x ${
                format(sizing.changesPerSecond)
            } changes/s (estimate: a part costs its share of the whole)`,
        ],
        [
            "bytes received, whole configuration at each change",
            `${format(sizing.configurationBytes * sizing.changesPerSecond / 1_000)} KB/s a gateway`,
            `limit ${target.controlBytesPerSecond / 1_000} KB/s`,
        ],
        [
            "the same, one service at each change",
            `${format(sizing.bytesPerChange * sizing.changesPerSecond / 1_000)} KB/s a gateway`,
            `${format(sizing.bytesPerChange)} bytes x ${format(sizing.changesPerSecond)} changes/s`,
        ],
        [
            "store calls, one store for all",
            `${format(storeCalls * sizing.gateways)}/s`,
            `${format(storeCalls)} calls/s a gateway (largest fleet measured); limit ${
                format(target.storeReadsPerSecond)
            } reads/s`,
        ],
        ["store calls, one store a region", `${format(storeCalls * sizing.gatewaysPerRegion)}/s`, "the same slope"],
        [
            "warm-ups at once after an availability zone's return",
            format(target.targets / target.availabilityZones),
            "targets of one zone; each needs a permit, which is a write",
        ],
        [
            "restarts",
            `one in ${format(secondsPerDay / target.restartsPerDay)} s`,
            `${target.restartsPerDay} a day; each is a registration, a lease and two changes of the roster`,
        ],
    ];
    return table(["at the target size", "value", "from"], rows);
}

function renderLimits(results: CapacityResults): string {
    const sizing = resolveSizing(results);
    const storeCalls = atLargest(results, "storeCallsPerGateway");
    const bytesPerTarget = slopeOf(results, "configurationBytesPerTarget");
    const applyPerTarget = slopeOf(results, "applyCpuPerTarget");
    const cpuBudgetMs = target.controlCorePercent * 10;
    return table(["mechanism of today", "breaks first at", "because"], [
        [
            "one value holds the whole configuration",
            `${format(target.storeValueBytes / bytesPerTarget)} targets`,
            "the store's values end at 1 MB",
        ],
        [
            "every change sends the whole configuration",
            `${format(target.controlBytesPerSecond / sizing.changesPerSecond / bytesPerTarget)} targets at ${
                format(target.changesPerDay)
            } changes a day`,
            "3 KB/s of control for a gateway",
        ],
        [
            "every change is resolved whole",
            `${format(cpuBudgetMs / sizing.changesPerSecond / applyPerTarget)} targets at ${
                format(target.changesPerDay)
            } changes a day`,
            "1% of a core",
        ],
        [
            "every gateway reads one store",
            `${format(target.storeReadsPerSecond / storeCalls)} gateways`,
            "2,000 reads/s, waiting watches included",
        ],
    ]);
}

function renderSamples(results: CapacityResults): string {
    const median = (rounds: readonly (readonly Sample[])[], place: number): number => {
        const values = rounds.map(round => round[place]?.value ?? Number.NaN).sort((a, b) => a - b);
        return values[Math.floor(values.length / 2)] ?? Number.NaN;
    };
    const rows = results.measurements.map(({ name, unit, rounds }) => [
        `\`${name}\` (${unit})`,
        ...(rounds[0] ?? []).map((sample, place) => `${format(median(rounds, place))} at ${format(sample.size)}`),
    ]);
    return table(["median of the rounds", "1st size", "2nd", "3rd", "4th"], rows);
}
