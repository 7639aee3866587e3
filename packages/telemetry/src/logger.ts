import { type ConsolaInstance, type ConsolaReporter, createConsola, type LogObject } from "consola";

/** Log levels as settings write them. */
export const logLevels = ["error", "warn", "info", "debug"] as const;
/** One of {@link logLevels}. */
export type LogLevel = typeof logLevels[number];

const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** One line of the log: what happened, and named values. */
export interface LogFields {
    readonly [name: string]: string | number | boolean | undefined;
}

/** A process's log. */
export interface Logger {
    error(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    debug(message: string, fields?: LogFields): void;
}

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
 * Makes a process's log: JSON lines where not a terminal, consola's usual lines for a person.
 *
 * @param options - name, level and output
 * @returns the log
 */
export function createLogger(options: LoggerOptions): Logger {
    const json = options.json ?? !process.stderr.isTTY;
    const write = options.write ?? (line => process.stderr.write(line));
    const level = consolaLevels[options.level];
    const consola: ConsolaInstance = json
        ? createConsola({ level, reporters: [new JsonReporter(options.process, write)] })
        : createConsola({ level, stdout: process.stderr, stderr: process.stderr });
    return {
        error: (message, fields) => consola.error(message, ...present(fields)),
        warn: (message, fields) => consola.warn(message, ...present(fields)),
        info: (message, fields) => consola.info(message, ...present(fields)),
        debug: (message, fields) => consola.debug(message, ...present(fields)),
    };
}

function present(fields: LogFields | undefined): readonly LogFields[] {
    return fields === undefined ? [] : [fields];
}
