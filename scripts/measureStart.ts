/**
 * Starts some processes of the built program at once, before stand-ins of the store and of backend servers and with callers that
 * all wait for them, and prints when each phase of a start was reached and what processor time it had taken. `--cores` gives each
 * process a share of a core; `--profile DIR` writes a processor profile of each.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { Worker } from "node:worker_threads";
import { settingsVariable } from "../platform/src/settingsVariable.js";
import { compiledFlags } from "./edgeBundle/constants.js";
import { type CallEnd, StandInFleet } from "./edgeBundle/standInFleet.js";

const { values } = parseArgs({
    options: {
        processes: { type: "string", default: "20" },
        gateways: { type: "string", default: "120" },
        servers: { type: "string", default: "240" },
        callers: { type: "string", default: "8" },
        cores: { type: "string" },
        profile: { type: "string" },
    },
});
const processCount = Number(values.processes);
const quotaPeriodMs = 100;
const throttleStartMs = 1_000;
const okStatus = 200;

const dir = mkdtempSync(join(tmpdir(), "galenaglade-start-"));
const fleet = await StandInFleet.start({
    running: processCount,
    registered: Number(values.gateways),
    servers: Number(values.servers),
});
const throttle = values.cores === undefined
    ? undefined
    : new Worker(new URL("measureStart/throttle.ts", import.meta.url), {
        workerData: { cores: Number(values.cores), periodMs: quotaPeriodMs },
        execArgv: ["--import", "tsx"],
    });
await sleep(throttle === undefined ? 0 : throttleStartMs);
const children: ChildProcess[] = [];
const ends = (await Promise.all(Array.from({ length: processCount }, (_, i) => measure(i)))).flat();
await throttle?.terminate();
// A profile is written at a planned stop only.
await Promise.all(children.map(child => {
    child.kill("SIGCONT");
    child.kill(values.profile === undefined ? "SIGKILL" : "SIGTERM");
    return once(child, "exit");
}));
report();
rmSync(dir, { recursive: true });
process.exit(0);

async function measure(i: number): Promise<readonly CallEnd[]> {
    const profile = values.profile === undefined
        ? []
        : ["--cpu-prof", "--cpu-prof-interval=200", `--cpu-prof-dir=${resolve(values.profile)}`];
    const child = spawn(process.execPath, [...compiledFlags, ...profile, "target/galenaglade-edge.cjs"], {
        env: { ...process.env, [settingsVariable]: fleet.writeSettings(i, dir) },
        stdio: ["ignore", openSync(join(dir, `${i}.log`), "a"), "inherit"],
    });
    children.push(child);
    throttle?.postMessage(child.pid);
    return Promise.all(
        Array.from({ length: Number(values.callers) }, (_, n) => fleet.call(i, `${i}-${n}`, n % 2 === 1)),
    );
}

function report(): void {
    const timelines = Array.from(
        { length: processCount },
        (_, i) =>
            readFileSync(join(dir, `${i}.log`), "utf8").split("\n").find(line => line.includes("\"startTimeline\"")),
    ).flatMap(line => line === undefined ? [] : [JSON.parse(line) as Readonly<Record<string, number>>]);
    console.log(`${timelines.length} of ${processCount} processes answered`);
    const phases = [...new Set(timelines.flatMap(each => Object.keys(each)))].filter(key => key.endsWith("Ms"));
    for (const phase of phases) {
        const sorted = timelines.flatMap(each => each[phase] ?? []).sort((a, b) => a - b);
        console.log(`${phase.padEnd(32)} median ${at(sorted, 0.5)}  highest ${at(sorted, 1)}`);
    }
    const took = ends.map(({ tookMs }) => tookMs).sort((a, b) => a - b);
    const answered = ends.filter(({ status }) => status === okStatus).length;
    console.log(`callers: ${answered} of ${ends.length} answered; median ${at(took, 0.5)} ms, last ${at(took, 1)} ms`);
}

function at(sorted: readonly number[], share: number): number {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN);
}
