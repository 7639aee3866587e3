import * as z from "zod";

const schema = z.looseObject({
    time: z.string(),
    level: z.string(),
    process: z.string(),
    message: z.string(),
});

/** One line of an edge process's log. */
export interface LogLine {
    /** ISO 8601. */
    readonly time: string;
    /** The host that wrote it. */
    readonly process: string;
    /** Name of the event. */
    readonly message: string;
    readonly level: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/**
 * Reads a log. Whatever stands before a line's JSON, such as a collector's own time, is passed over.
 *
 * @param text - the file's text
 * @returns the lines that are log lines, and how many are not
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
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        return undefined;
    }
    const { time, level, process, message, ...fields } = parsed.data;
    return { time, level, process, message, fields };
}
