/** Benchmarks routing policies with real processes over loopback. For usage, run `npm run bench -- --help`. */
import { type ConfigurationInput } from "@galenaglade/configuration";
import { routingPolicyNames } from "@galenaglade/routing";
import { Fleet, FleetConfigurer, limitBackendServers } from "@galenaglade/stand-ins";
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { parse } from "yaml";
import { renderPlot } from "./bench/plot.js";
import { type BenchResults, type RunResult } from "./bench/results.js";
import { runLoad } from "./bench/runLoad.js";
import { renderTable } from "./bench/table.js";
import { overridePatience, type LoadShape, loadShapes, lonestatLoads, resolveCapacities } from "./bench/workload.js";

/** Sizes of a full run; a run with any smaller size is partial. */
const fullSize = { gateways: 13, serversPerService: 12, rounds: 5, seconds: 30 };
const baseline = "random";

const usage = `usage: npm run bench -- [options]
    --variants A,B    routing policies: ${routingPolicyNames.join(", ")}
    --loads A,B       ${loadShapes.map(load => load.name).join(", ")}
    --gateways N      number of gateways; default: ${fullSize.gateways}
    --servers N       maximum number of backend servers of each service
    --rounds N        number of rounds; default: ${fullSize.rounds}
    --seconds N       duration of each run; default: ${fullSize.seconds}
    --seed N
    --out NAME        writes results to docs/bench/results/NAME.json, with a table and plots
    --render FILE     only regenerates the table and plots of a results file`;

const { values } = parseArgs({
    options: {
        variants: { type: "string", default: routingPolicyNames.join(",") },
        loads: { type: "string", default: loadShapes.map(load => load.name).join(",") },
        gateways: { type: "string", default: String(fullSize.gateways) },
        servers: { type: "string", default: String(fullSize.serversPerService) },
        rounds: { type: "string", default: String(fullSize.rounds) },
        seconds: { type: "string", default: String(fullSize.seconds) },
        seed: { type: "string", default: "1" },
        out: { type: "string", default: "bench" },
        render: { type: "string" },
        help: { type: "boolean", default: false },
    },
});

const gatewayScript = fileURLToPath(new URL("bench/gatewayVariant.ts", import.meta.url));
const configurationPath = fileURLToPath(new URL("../playground/lonestat.yaml", import.meta.url));
const resultsDirectory = fileURLToPath(new URL("../docs/bench/results", import.meta.url));

if (values.help) {
    console.log(usage);
}
else if (values.render !== undefined) {
    render(JSON.parse(readFileSync(values.render, "utf8")) as BenchResults, values.render);
}
else {
    await measure();
}

async function measure(): Promise<void> {
    const startedAt = new Date().toISOString();
    const fleet = await startFleet();
    const configurer = new FleetConfigurer(fleet);
    const runs: RunResult[] = [];
    try {
        await configurer.apply(fleet.configuration);
        await fleet.waitUntilReady();
        for (let round = 1; round <= Number(values.rounds); round++) {
            for (const variant of rotate(values.variants.split(","), round)) {
                console.log(`round ${round}, ${variant}`);
                await fleet.replaceGateways(createProgram(variant));
                for (const load of chosenLoads()) {
                    const seed = Number(values.seed) + round;
                    const seconds = Number(values.seconds);
                    runs.push(await runLoad({ fleet, configurer, load, variant, round, seconds, seed }));
                }
                write(createResults(startedAt, fleet, runs));
            }
        }
    }
    finally {
        await configurer.close();
        const failed = await fleet.stop();
        console.log(
            failed.length === 0 ? "all processes stopped as planned" : `planned stop failed: ${failed.join(", ")}`,
        );
    }
    console.log(renderTable(createResults(startedAt, fleet, runs), baseline));
}

function startFleet(): Promise<Fleet> {
    const declared = parse(readFileSync(configurationPath, "utf8")) as ConfigurationInput;
    return Fleet.start({
        configuration: overridePatience(limitBackendServers(declared, Number(values.servers)), lonestatLoads),
        gateways: Number(values.gateways),
        admin: false,
        gatewayProgram: createProgram(baseline),
        onProgress: text => console.log(`starting ${text}`),
    });
}

function createProgram(policy: string) {
    return { script: gatewayScript, args: ["--policy", policy] };
}

/** Starts each round with another variant, so that no variant always runs first on an idle machine. */
function rotate(variants: readonly string[], round: number): readonly string[] {
    const first = (round - 1) % variants.length;
    return [...variants.slice(first), ...variants.slice(0, first)];
}

function chosenLoads(): readonly LoadShape[] {
    const names = values.loads.split(",");
    return loadShapes.filter(load => names.includes(load.name));
}

function createResults(startedAt: string, fleet: Fleet, runs: readonly RunResult[]): BenchResults {
    return {
        startedAt,
        partial: isPartial(),
        gateways: Number(values.gateways),
        backendServers: fleet.configuration.services.flatMap(service => service.backendServers).length,
        secondsPerRun: Number(values.seconds),
        seed: Number(values.seed),
        processors: availableParallelism(),
        capacityPerSecond: resolveCapacities(fleet.configuration, lonestatLoads).total,
        runs,
    };
}

function isPartial(): boolean {
    return Number(values.gateways) < fullSize.gateways
        || Number(values.servers) < fullSize.serversPerService
        || Number(values.rounds) < fullSize.rounds
        || Number(values.seconds) < fullSize.seconds
        || values.loads.split(",").length < loadShapes.length;
}

/** Writes the results. Called after each variant, so that an interrupted run keeps its measurements. */
function write(results: BenchResults): void {
    mkdirSync(resultsDirectory, { recursive: true });
    const path = join(resultsDirectory, `${values.out}.json`);
    writeFileSync(path, `${JSON.stringify(results, undefined, 1)}\n`);
    render(results, path);
}

function render(results: BenchResults, path: string): void {
    const stem = path.replace(/\.json$/, "");
    writeFileSync(`${stem}.txt`, renderTable(results, baseline));
    mkdirSync(stem, { recursive: true });
    for (const load of new Set(results.runs.map(run => run.load))) {
        const kinds = new Set(results.runs.filter(run => run.load === load).flatMap(run => Object.keys(run.kinds)));
        for (const kind of kinds) {
            const plot = join(stem, `${load}-${kind.replace("/", "-")}.svg`);
            mkdirSync(dirname(plot), { recursive: true });
            writeFileSync(plot, renderPlot(results, load, kind));
        }
    }
}
