import { readFileSync } from "node:fs";

/** What a process has used so far. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly rssMegabytes: number;
}

/** Linux counts processor time in hundredths of a second towards user space. */
const millisecondsPerTick = 10;
/** Fields of /proc/PID/stat behind the program's name: state is the first, utime the twelfth. */
const userTimeField = 11;
const systemTimeField = 12;
const kilobytesPerMegabyte = 1_024;

/**
 * Reads what the system says of a process.
 *
 * @param pid - a running process
 * @throws Error where there is no such process, or no /proc
 */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
    const resident = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return { cpuMs: ticks * millisecondsPerTick, rssMegabytes: Number(resident) / kilobytesPerMegabyte };
}
