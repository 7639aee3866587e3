/**
 * Starts several processes of the bundled program concurrently, with a fake store, fake backend servers and waiting
 * callers, and prints when each phase of the start was reached and its processor time. `--cores` limits each process to
 * a share of a core; `--profile DIR` writes a CPU profile of each. `--rate` also sends that many requests per second to
 * each process, beginning `--down` milliseconds before its start, and prints the shares that were served in time by
 * time of arrival.
 */
import { createRandomSource } from "@galenaglade/routing";
import { type ChildProcess, fork, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { settingsVariable } from "../platform/src/settingsVariable.js";
import { codeCacheFlags } from "./edgeBundle/constants.js";
import { type CallResult, objectiveMs, StandInFleet } from "./edgeBundle/standInFleet.js";

const { values } = parseArgs({
    options: {
        processes: { type: "string", default: "20" },
        gateways: { type: "string", default: "120" },
        servers: { type: "string", default: "240" },
        callers: { type: "string", default: "8" },
        rate: { type: "string", default: "0" },
        down: { type: "string", default: "0" },
        cores: { type: "string" },
        profile: { type: "string" },
    },
});
const processCount = Number(values.processes);
const throttleStartMs = 1_000;
const okStatus = 200;
const ratePerSecond = Number(values.rate);
const downMs = Number(values.down);
const loadMs = 6_000;
const random = createRandomSource(1);
const arrived: (CallResult & { readonly arrivedAtMs: number; })[] = [];

const dir = mkdtempSync(join(tmpdir(), "galenaglade-start-"));
const fleet = await StandInFleet.start({
    running: processCount,
    registered: Number(values.gateways),
    servers: Number(values.servers),
});
const throttle = values.cores === undefined
    ? undefined
    : fork(fileURLToPath(new URL("measureStart/throttle.ts", import.meta.url)), [values.cores], {
        execArgv: ["--import", "tsx"],
    });
await sleep(throttle === undefined ? 0 : throttleStartMs);
const beganAtMs = performance.now();
const children: ChildProcess[] = [];
const ends = (await Promise.all(Array.from({ length: processCount }, (_, i) => measure(i)))).flat();
throttle?.kill();
// Node writes a CPU profile only if the process exits by itself, as at a planned stop.
await Promise.all(children.map(child => {
    child.kill("SIGCONT");
    child.kill(values.profile === undefined ? "SIGKILL" : "SIGTERM");
    return once(child, "exit");
}));
report();
if (ratePerSecond > 0) {
    reportLoad();
}
rmSync(dir, { recursive: true });
process.exit(0);

async function measure(i: number): Promise<readonly CallResult[]> {
    const profile = values.profile === undefined
        ? []
        : ["--cpu-prof", "--cpu-prof-interval=200", `--cpu-prof-dir=${resolve(values.profile)}`];
    const arrivals = Array.from(
        { length: Math.round(ratePerSecond * (downMs + loadMs) / 1_000) },
        (_, n) => sendArrival(i, n),
    );
    await sleep(downMs);
    const child = spawn(process.execPath, [...codeCacheFlags, ...profile, "target/galenaglade-edge.cjs"], {
        env: { ...process.env, [settingsVariable]: fleet.writeSettings(i, dir) },
        stdio: ["ignore", openSync(join(dir, `${i}.log`), "a"), "inherit"],
    });
    children.push(child);
    throttle?.send(child.pid ?? 0);
    const first = Array.from({ length: Number(values.callers) }, (_, n) => fleet.call(i, `${i}-${n}`, n % 2 === 1));
    return Promise.all([...first, ...arrivals]);
}

/** Sends one request of an open load, whose rate doesn't depend on the outcomes of earlier requests. */
async function sendArrival(i: number, n: number): Promise<CallResult> {
    await sleep((n + random.next()) * 1_000 / ratePerSecond);
    const arrivedAtMs = performance.now();
    const end = await fleet.call(i, `${i}-load-${n}`, n % 2 === 1);
    arrived.push({ ...end, arrivedAtMs: arrivedAtMs - beganAtMs - downMs });
    return end;
}

function reportLoad(): void {
    for (const [fromMs, toMs] of [[-downMs, 0], [0, 2_000], [2_000, 4_000], [4_000, loadMs]] as const) {
        const arrivals = arrived.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < toMs);
        const inTime = arrivals.filter(({ status, latencyMs }) =>
            status === okStatus && latencyMs <= objectiveMs
        ).length;
        const answered = arrivals.filter(({ status }) => status === okStatus).length;
        const share = (count: number): string => `${(100 * count / Math.max(1, arrivals.length)).toFixed(1)}%`;
        console.log(
            `arrived from ${fromMs} to ${toMs} ms: ${arrivals.length}, served in time ${share(inTime)}, served ${
                share(answered)
            }`,
        );
    }
}

function report(): void {
    const timelines = Array.from(
        { length: processCount },
        (_, i) =>
            readFileSync(join(dir, `${i}.log`), "utf8").split("\n").find(line => line.includes("\"startTimeline\"")),
    ).flatMap(line => line === undefined ? [] : [JSON.parse(line) as Readonly<Record<string, number>>]);
    console.log(`${timelines.length} of ${processCount} processes logged a start timeline`);
    const phases = [...new Set(timelines.flatMap(each => Object.keys(each)))].filter(key => key.endsWith("Ms"));
    for (const phase of phases) {
        const sorted = timelines.flatMap(each => each[phase] ?? []).sort((a, b) => a - b);
        console.log(`${phase.padEnd(32)} median ${at(sorted, 0.5)}  max ${at(sorted, 1)}`);
    }
    const took = ends.map(({ latencyMs }) => latencyMs).sort((a, b) => a - b);
    const answered = ends.filter(({ status }) => status === okStatus).length;
    console.log(`callers: ${answered} of ${ends.length} served; median ${at(took, 0.5)} ms, max ${at(took, 1)} ms`);
}

function at(sorted: readonly number[], share: number): number {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN);
}
