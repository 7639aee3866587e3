import * as z from "zod";

const logLineSchema = z.looseObject({
    time: z.string(),
    level: z.string(),
    process: z.string(),
    message: z.string(),
});

/** One line of an edge process's log, parsed. */
export interface LogLine {
    /** Timestamp in ISO 8601. */
    readonly time: string;
    /** Name of the host that wrote the line. */
    readonly process: string;
    /** Name of the log event. */
    readonly message: string;
    readonly level: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Parses a log. Text before the JSON of a line, such as a timestamp added by a log collector, is ignored.
 *
 * @param text - contents of the log file
 * @returns the parsed lines, and the number of lines that are not log lines
 */
export function readLog(text: string): { readonly lines: readonly LogLine[]; readonly unreadable: number; } {
    const lines: LogLine[] = [];
    let unreadable = 0;
    for (const row of text.split("\n")) {
        if (row.trim() === "") {
            continue;
        }
        const line = parseLine(row);
        if (line === undefined) {
            unreadable++;
            continue;
        }
        lines.push(line);
    }
    return { lines, unreadable };
}

function parseLine(row: string): LogLine | undefined {
    const start = row.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    let value: unknown;
    try {
        value = JSON.parse(row.slice(start));
    }
    catch {
        return undefined;
    }
    const parsed = logLineSchema.safeParse(value);
    if (!parsed.success) {
        return undefined;
    }
    const { time, level, process, message, ...fields } = parsed.data;
    return { time, level, process, message, fields };
}
