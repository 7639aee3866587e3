import { readFileSync } from "node:fs";

/** Resource usage of a process since its start. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly rssMegabytes: number;
}

/** Linux reports processor time to user space in ticks of 10 ms. */
const millisecondsPerTick = 10;
/** Indices of the fields after the program name in /proc/PID/stat: state is the first, utime the twelfth. */
const userTimeField = 11;
const systemTimeField = 12;
const kilobytesPerMegabyte = 1_024;

/**
 * Reads the resource usage of a process from /proc.
 *
 * @param pid - ID of a running process
 * @throws Error if there is no such process, or no /proc
 */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTimeField]) + Number(fields[systemTimeField]);
    const resident = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
    return { cpuMs: ticks * millisecondsPerTick, rssMegabytes: Number(resident) / kilobytesPerMegabyte };
}
