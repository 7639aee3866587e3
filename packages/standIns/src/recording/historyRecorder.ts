import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import { closeSync, openSync, readFileSync, writeSync } from "node:fs";

/** Records the events of one process. */
export abstract class HistoryRecorder {
    abstract record(event: HistoryEvent): void;
}

/** Discards all events. */
export class NoopHistoryRecorder extends HistoryRecorder {
    override record(): void {
        // Without --history, nothing reads the events.
    }
}

/** Keeps events in memory, for tests within one process. */
export class MemoryHistoryRecorder extends HistoryRecorder {
    readonly #process: string;
    readonly #lines: HistoryLine[] = [];

    constructor(process: string) {
        super();
        this.#process = process;
    }

    get lines(): readonly HistoryLine[] {
        return this.#lines;
    }

    override record(event: HistoryEvent): void {
        const sequence = this.#lines.length + 1;
        this.#lines.push({ ...event, sequence, atMs: readMachineClock(), process: this.#process });
    }
}

/** Appends one JSON line for each event. Writes are synchronous, so that a killed process loses no event. */
export class FileHistoryRecorder extends HistoryRecorder {
    readonly #process: string;
    readonly #file: number;
    #sequence = 0;

    constructor(path: string, process: string) {
        super();
        this.#process = process;
        this.#file = openSync(path, "a");
    }

    override record(event: HistoryEvent): void {
        const line: HistoryLine = {
            ...event,
            sequence: ++this.#sequence,
            atMs: readMachineClock(),
            process: this.#process,
        };
        writeSync(this.#file, `${JSON.stringify(line)}\n`);
    }

    close(): void {
        closeSync(this.#file);
    }
}

/**
 * Merges the histories of several processes on one machine.
 *
 * @param paths - files written by {@link FileHistoryRecorder}
 * @param recorded - histories recorded in this process
 * @returns all lines in the order of the machine's monotonic clock, with new sequence numbers
 */
export function mergeHistories(
    paths: readonly string[],
    recorded: readonly MemoryHistoryRecorder[] = [],
): readonly HistoryLine[] {
    const lines: HistoryLine[] = recorded.flatMap(history => history.lines);
    for (const path of paths) {
        for (const text of readFileSync(path, "utf8").split("\n")) {
            if (text !== "") {
                lines.push(JSON.parse(text) as HistoryLine);
            }
        }
    }
    const byTime = lines.toSorted((a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
    return byTime.map((line, i) => ({ ...line, sequence: i + 1 }));
}

/** Reads the monotonic clock, which all processes on the machine share. @returns milliseconds */
function readMachineClock(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
