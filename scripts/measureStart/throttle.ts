/**
 * Limits processes to a share of a core, like a CFS quota: a process that has used up its quota of a period is stopped
 * until the next one. Runs as a separate process, so that the work of the measurement doesn't delay it.
 */
import { readdirSync, readFileSync } from "node:fs";

const cores = Number(process.argv[2]);
const periodMs = 100;
const checkPeriodMs = 3;
const nsPerMs = 1_000_000;

interface ThrottledProcess {
    readonly pid: number;
    chargedMs: number;
    stopped: boolean;
}

const processes: ThrottledProcess[] = [];
let periodEndsAtMs = performance.now() + periodMs;

process.on("message", (pid: number) => {
    processes.push({ pid, chargedMs: 0, stopped: false });
});
setInterval(() => {
    const isNewPeriod = performance.now() >= periodEndsAtMs;
    periodEndsAtMs += isNewPeriod ? periodMs : 0;
    for (const each of processes) {
        updateThrottle(each, isNewPeriod);
    }
}, checkPeriodMs);

function updateThrottle(each: ThrottledProcess, isNewPeriod: boolean): void {
    try {
        if (isNewPeriod) {
            // Usage beyond the quota, between two checks, is charged to the next period.
            const usedMs = readUsedMs(each.pid);
            each.chargedMs = Math.max(
                usedMs - periodMs * cores,
                Math.min(usedMs, each.chargedMs + periodMs * cores),
            );
        }
        const mayRun = readUsedMs(each.pid) - each.chargedMs < periodMs * cores;
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
