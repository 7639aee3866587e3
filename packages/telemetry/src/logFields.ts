/** Log levels as settings write them. */
export const logLevels = ["error", "warn", "info", "debug"] as const;
/** One of {@link logLevels}. */
export type LogLevel = typeof logLevels[number];

/** The levels as consola numbers them. */
export const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

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

/** @returns the fields as the rest of an argument list */
export function toLogArguments(fields: LogFields | undefined): readonly LogFields[] {
    return fields === undefined ? [] : [fields];
}
