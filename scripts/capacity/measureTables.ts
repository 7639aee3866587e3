import { resolveConfiguration } from "@galenaglade/configuration";
import { createRandomSource, createRoutingPolicy, ServerLoadTracker } from "@galenaglade/routing";
import { createServiceTable, type ServiceTable } from "../../packages/gateway/src/requests/serviceTable.js";
import { generateConfiguration } from "./generateConfiguration.js";
import { type Measurement } from "./measurement.js";
import { fitSlope, type Sample } from "./slope.js";

/** Configuration sizes, in targets. */
const configurationSizes = [1_050, 2_100, 4_200, 8_400];
/** Numbers of candidate servers of a routing decision. */
const candidateSizes = [6, 12, 24, 48];
const rounds = 5;
const repeats = 20;
const choices = 20_000;

/** Measures a value at one size. */
type Measure = (size: number) => number;

function measure(name: string, per: string, unit: string, sizes: readonly number[], take: Measure): Measurement {
    const samples: Sample[][] = [];
    for (let round = 0; round < rounds; round++) {
        samples.push(sizes.map(size => ({ size, value: take(size) })));
    }
    return { name, per, unit, rounds: samples, slope: fitSlope(samples) };
}

function collectGarbage(): void {
    if (globalThis.gc === undefined) {
        throw new Error("memory can't be measured without the --expose-gc flag");
    }
    globalThis.gc();
}

/** @returns the heap size that a value retains, in bytes */
function measureHeapBytes(create: () => unknown): number {
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    const retained = create();
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    // Using the value after the second reading keeps it from being collected earlier.
    if (retained === undefined) {
        throw new Error("nothing was created");
    }
    return bytes;
}

function measureCpuMs(run: () => void, times: number): number {
    const before = process.cpuUsage();
    for (let i = 0; i < times; i++) {
        run();
    }
    const spent = process.cpuUsage(before);
    return (spent.user + spent.system) / 1_000 / times;
}

function createTable(size: number): ServiceTable {
    return createServiceTable({ revision: 1, changeId: "", configuration: generateConfiguration(size) });
}

function createFullBoard(table: ServiceTable): ServerLoadTracker {
    const board = new ServerLoadTracker();
    for (const route of table.routes) {
        for (const { serverId } of route.targets) {
            board.onSent(serverId);
            board.onReport(serverId, { inFlight: 1 }, 0);
            board.onEnded(serverId, 1, 1);
        }
    }
    return board;
}

/** @returns the processor time of one routing decision, including the creation of its candidates, in milliseconds */
function decisionCpuMs(size: number): number {
    const servers = generateConfiguration(size * 2).services.flatMap(service => service.backendServers).slice(0, size);
    const board = new ServerLoadTracker();
    const policy = createRoutingPolicy("freeSlotFirst");
    const random = createRandomSource(1);
    return measureCpuMs(() => {
        const candidates = servers.map((server, i) => board.createCandidate(`s/${i}`, server, i % 3 === 0, false, 1));
        policy?.choose(candidates, random);
    }, choices);
}

/** Measures the memory, serialized size and processor time of the configuration and the routing table. */
export function measureTables(): readonly Measurement[] {
    return [
        measure("gatewayMemoryPerTarget", "target", "bytes", configurationSizes, size =>
            measureHeapBytes(() => {
                const table = createTable(size);
                return { table, board: createFullBoard(table) };
            })),
        measure(
            "configurationBytesPerTarget",
            "target",
            "bytes",
            configurationSizes,
            size => Buffer.byteLength(JSON.stringify(generateConfiguration(size))),
        ),
        measure("applyCpuPerTarget", "target", "ms", configurationSizes, size => {
            const text = JSON.stringify(generateConfiguration(size));
            return measureCpuMs(() => {
                const configuration = resolveConfiguration(JSON.parse(text)).unsafeCoerce();
                createServiceTable({ revision: 1, changeId: "", configuration });
            }, repeats);
        }),
        measure("decisionCpuPerCandidate", "candidate", "ms", candidateSizes, decisionCpuMs),
    ];
}
