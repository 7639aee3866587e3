import { createConsola } from "consola";
import { createJsonLogger } from "./jsonLogger.js";
import { consolaLevels, type Logger, type LogLevel, toLogArguments } from "./logFields.js";

/** Options of a logger. */
export interface LoggerOptions {
    /** Process name, written to every JSON line. */
    readonly process: string;
    readonly level: LogLevel;
    /** Whether to write JSON lines; by default, if standard error is not a terminal. */
    readonly json?: boolean;
    /**
     * Called with each JSON line; writes to standard error by default, since standard output is reserved for results.
     */
    readonly write?: (line: string) => void;
}

/**
 * Creates a process's logger: consola's default format on a terminal, JSON lines otherwise.
 *
 * @param options - process name, level and output
 * @returns the logger
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
