import { readFileSync } from "node:fs";

/** What the kernel has counted for a process so far. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly residentBytes: number;
    /** Bytes written to anything: sockets, and a log that is short here. */
    readonly writtenBytes: number;
    readonly readBytes: number;
}

const clockTicksPerSecond = 100;
const pageBytes = 4_096;
/** Places in `/proc/PID/stat`, counted from the process's state, which follows its name in brackets. */
const userTicksField = 11;
const systemTicksField = 12;

/**
 * @param pid - a process that this program has started
 * @returns its usage since it started
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
