import { setTimeout as sleep } from "node:timers/promises";
import { generateConfiguration } from "./generateConfiguration.js";
import { type Measurement } from "./measurement.js";
import { type ProcessUsage, readProcessUsage } from "./processUsage.js";
import { fitSlope, type Sample } from "./slope.js";
import { TestFleet } from "./testFleet.js";

/** Fleet sizes, in gateways. */
const fleetSizes = [2, 4, 8, 16];
const rounds = 3;
const settleMs = 6_000;
const observeMs = 12_000;
const changes = 5;
/** Targets in the configuration during the measurement: about those of the larger deployment in the requirements. */
const declaredTargets = 28;

/** Resource usage of a fleet with control traffic only, per gateway unless the name says otherwise. */
interface FleetObservation {
    readonly corePercent: number;
    readonly residentMegabytes: number;
    readonly writtenBytesPerSecond: number;
    readonly storeCallsPerSecond: number;
    /** Time from the operator's call until the change is in force on all gateways. */
    readonly changeMs: number;
    /** Processor time of one change on one gateway. */
    readonly changeCpuMs: number;
}

async function observe(size: number): Promise<FleetObservation> {
    const fleet = await TestFleet.start(size);
    try {
        const configuration = generateConfiguration(declaredTargets);
        await fleet.apply(configuration);
        await sleep(settleMs);
        const before = readAll(fleet);
        const callsBefore = countCalls(fleet);
        await sleep(observeMs);
        const after = readAll(fleet);
        const callsAfter = countCalls(fleet);
        const startedMs = performance.now();
        for (let i = 0; i < changes; i++) {
            await fleet.apply(configuration);
        }
        const changeMs = (performance.now() - startedMs) / changes;
        const changed = readAll(fleet);
        const seconds = observeMs / 1_000;
        return {
            corePercent: (after.cpuMs - before.cpuMs) / observeMs * 100 / size,
            residentMegabytes: after.residentBytes / 1_048_576 / size,
            writtenBytesPerSecond: (after.writtenBytes - before.writtenBytes) / seconds / size,
            storeCallsPerSecond: (callsAfter - callsBefore) / seconds / size,
            changeMs,
            changeCpuMs: (changed.cpuMs - after.cpuMs) / changes / size,
        };
    }
    finally {
        await fleet.stop();
    }
}

function readAll(fleet: TestFleet): ProcessUsage {
    const sum = { cpuMs: 0, residentBytes: 0, writtenBytes: 0, readBytes: 0 };
    for (const gateway of fleet.gateways) {
        const usage = readProcessUsage(gateway.pid);
        sum.cpuMs += usage.cpuMs;
        sum.residentBytes += usage.residentBytes;
        sum.writtenBytes += usage.writtenBytes;
        sum.readBytes += usage.readBytes;
    }
    return sum;
}

function countCalls(fleet: TestFleet): number {
    const { reads, writes } = fleet.platform.counters().total;
    return reads + writes;
}

interface Column {
    readonly name: string;
    readonly unit: string;
    readonly read: (observation: FleetObservation) => number;
}

const columns: readonly Column[] = [
    { name: "controlCorePerGateway", unit: "% of a core", read: observation => observation.corePercent },
    { name: "residentMemoryPerGateway", unit: "MB", read: observation => observation.residentMegabytes },
    { name: "writtenBytesPerGateway", unit: "bytes/s", read: observation => observation.writtenBytesPerSecond },
    { name: "storeCallsPerGateway", unit: "calls/s", read: observation => observation.storeCallsPerSecond },
    { name: "changeTimePerGateway", unit: "ms", read: observation => observation.changeMs },
    { name: "changeCpuPerGateway", unit: "ms", read: observation => observation.changeCpuMs },
];

/** Measures the resource usage per gateway of an idle fleet against its size. Requires `npm run build`. */
export async function measureFleet(): Promise<readonly Measurement[]> {
    const samples = new Map<string, Sample[][]>(columns.map(({ name }) => [name, []]));
    for (let round = 0; round < rounds; round++) {
        const observations: (readonly [number, FleetObservation])[] = [];
        for (const size of fleetSizes) {
            observations.push([size, await observe(size)]);
        }
        for (const { name, read } of columns) {
            samples.get(name)?.push(observations.map(([size, observation]) => ({ size, value: read(observation) })));
        }
    }
    return columns.map(({ name, unit }) => {
        const taken = samples.get(name) ?? [];
        return { name, per: "gateway", unit, rounds: taken, slope: fitSlope(taken) };
    });
}
