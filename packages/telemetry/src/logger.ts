import { createConsola } from "consola";
import { createJsonLogger } from "./jsonLogger.js";
import { consolaLevels, type Logger, type LogLevel, toLogArguments } from "./logFields.js";

/** How a log is made. */
export interface LoggerOptions {
    /** Name of the process, on every line. */
    readonly process: string;
    readonly level: LogLevel;
    /** One JSON object a line; the default where the output is not a terminal. */
    readonly json?: boolean;
    /** Where lines go; standard error by default, so that standard output stays free for results. */
    readonly write?: (line: string) => void;
}

/**
 * Makes a process's log: JSON lines where not a terminal, consola's usual lines for a person.
 *
 * @param options - name, level and output
 * @returns the log
 */
export function createLogger(options: LoggerOptions): Logger {
    const json = options.json ?? !process.stderr.isTTY;
    const write = options.write ?? (line => process.stderr.write(line));
    if (json) {
        return createJsonLogger({ process: options.process, level: options.level, write });
    }
    const level = consolaLevels[options.level];
    const consola = createConsola({ level, stdout: process.stderr, stderr: process.stderr });
    return {
        error: (message, fields) => consola.error(message, ...toLogArguments(fields)),
        warn: (message, fields) => consola.warn(message, ...toLogArguments(fields)),
        info: (message, fields) => consola.info(message, ...toLogArguments(fields)),
        debug: (message, fields) => consola.debug(message, ...toLogArguments(fields)),
    };
}
