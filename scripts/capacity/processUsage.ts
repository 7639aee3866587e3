import { readFileSync } from "node:fs";

/** Resource usage of a process since its start, as counted by the kernel. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly residentBytes: number;
    /** Bytes written to any file descriptor: mostly sockets, as the log is short. */
    readonly writtenBytes: number;
    readonly readBytes: number;
}

const clockTicksPerSecond = 100;
const pageBytes = 4_096;
/** Field indices in `/proc/PID/stat`, counted from the process state, which follows the name in parentheses. */
const userTicksField = 11;
const systemTicksField = 12;

/**
 * Reads the resource usage of a process from /proc.
 *
 * @param pid - ID of a process that this program has started
 * @returns its usage since its start
 */
export function readProcessUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[userTicksField]) + Number(fields[systemTicksField]);
    const pages = Number(readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1]);
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
        cpuMs: ticks * 1_000 / clockTicksPerSecond,
        residentBytes: pages * pageBytes,
        writtenBytes: readCounter(io, "wchar"),
        readBytes: readCounter(io, "rchar"),
    };
}

function readCounter(io: string, name: string): number {
    return Number(new RegExp(`^${name}: (\\d+)$`, "m").exec(io)?.[1] ?? Number.NaN);
}
