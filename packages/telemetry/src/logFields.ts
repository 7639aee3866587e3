/** Log levels, as written in settings. */
export const logLevels = ["error", "warn", "info", "debug"] as const;
/** One of {@link logLevels}. */
export type LogLevel = typeof logLevels[number];

/** Consola's numeric log levels. */
export const consolaLevels: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 };

/** Named values of a log line. */
export interface LogFields {
    readonly [name: string]: string | number | boolean | undefined;
}

/** Logger of a process. */
export interface Logger {
    error(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    debug(message: string, fields?: LogFields): void;
}

/** @returns the fields as additional log arguments; empty if there are none */
export function toLogArguments(fields: LogFields | undefined): readonly LogFields[] {
    return fields === undefined ? [] : [fields];
}
