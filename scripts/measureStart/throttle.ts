/**
 * Limits processes to a share of a core, like a CFS quota: a process that has used up its quota of a period is stopped
 * until the next one. Runs as a separate process, so that the work of the measurement doesn't delay it.
 */
import { readdirSync, readFileSync } from "node:fs";

const cores = Number(process.argv[2]);
const periodMs = 100;
const lookMs = 3;
const nsPerMs = 1_000_000;

interface Throttled {
    readonly pid: number;
    usedBeforeMs: number;
    stopped: boolean;
}

const processes: Throttled[] = [];
let periodEndsAtMs = performance.now() + periodMs;

process.on("message", (pid: number) => {
    processes.push({ pid, usedBeforeMs: 0, stopped: false });
});
setInterval(() => {
    const isNewPeriod = performance.now() >= periodEndsAtMs;
    periodEndsAtMs += isNewPeriod ? periodMs : 0;
    for (const each of processes) {
        look(each, isNewPeriod);
    }
}, lookMs);

function look(each: Throttled, isNewPeriod: boolean): void {
    try {
        if (isNewPeriod) {
            // Usage beyond the quota, between two checks, is charged to the next period.
            const usedMs = readUsedMs(each.pid);
            each.usedBeforeMs = Math.max(
                usedMs - periodMs * cores,
                Math.min(usedMs, each.usedBeforeMs + periodMs * cores),
            );
        }
        const mayRun = readUsedMs(each.pid) - each.usedBeforeMs < periodMs * cores;
        if (mayRun === each.stopped) {
            process.kill(each.pid, mayRun ? "SIGCONT" : "SIGSTOP");
            each.stopped = !mayRun;
        }
    }
    catch {
        // The process has ended.
        processes.splice(processes.indexOf(each), 1);
    }
}

function readUsedMs(pid: number): number {
    const dir = `/proc/${pid}/task`;
    let usedNs = 0;
    for (const task of readdirSync(dir)) {
        usedNs += Number(readFileSync(`${dir}/${task}/schedstat`, "utf8").split(" ")[0]);
    }
    return usedNs / nsPerMs;
}
