import { parseArgs } from "node:util";
import { formatFaults, type LocatedFault } from "@galenaglade/configuration";
import { type Either, Left } from "purify-ts";
import { stringify } from "yaml";
import { badInputExitCode } from "./constants.js";
import { readTextFile } from "./resolveSettings.js";

/** Checks the text of a settings file, such as `resolveGatewaySettings`. */
export type SettingsResolver<T> = (text: string) => Either<readonly LocatedFault[], T>;

/**
 * Reads and checks a settings file.
 *
 * @param path - path of the file
 * @param resolve - the check
 * @returns all faults as lines for a person, or the settings
 */
export function loadSettings<T>(path: string, resolve: SettingsResolver<T>): Either<string, T> {
    let text: string;
    try {
        text = readTextFile(path);
    }
    catch (err) {
        return Left(`${path}: ${err instanceof Error ? err.message : String(err)}`);
    }
    return resolve(text).mapLeft(faults => formatFaults(path, faults));
}

/** What a process does after it has read its command line and settings. */
export type Startup<T> =
    | { readonly type: "run"; readonly settings: T; }
    /** Print and leave; nothing was opened yet. */
    | { readonly type: "exit"; readonly code: number; readonly output: string; };

/**
 * Reads the command line of a long-running process: `--settings FILE`, `--print-settings` and `--help`. It comes
 * before anything is opened, so that a faulty file can't leave a process half started.
 *
 * @param program - name of the program, for its help
 * @param args - the command line without node and script
 * @param resolve - checks the settings
 * @returns the settings, or what to print before leaving and with which exit code
 */
export function resolveStartup<T>(program: string, args: readonly string[], resolve: SettingsResolver<T>): Startup<T> {
    const usage = `usage: ${program} --settings FILE [--print-settings] [--help]`;
    let values;
    try {
        values = parseArgs({
            args: [...args],
            options: {
                "settings": { type: "string" },
                "print-settings": { type: "boolean", default: false },
                "help": { type: "boolean", default: false },
            },
        }).values;
    }
    catch (err) {
        const message = err instanceof Error ? err.message : String(err);
        return { type: "exit", code: badInputExitCode, output: `${message}\n${usage}` };
    }
    if (values.help) {
        return { type: "exit", code: 0, output: usage };
    }
    if (values.settings === undefined) {
        return { type: "exit", code: badInputExitCode, output: `--settings is missing\n${usage}` };
    }
    return loadSettings(values.settings, resolve).caseOf<Startup<T>>({
        Left: output => ({ type: "exit", code: badInputExitCode, output }),
        Right: settings =>
            values["print-settings"]
                ? { type: "exit", code: 0, output: printSettings(settings) }
                : { type: "run", settings },
    });
}

/**
 * Writes resolved settings as YAML; secrets show as `[hidden]`.
 *
 * @param settings - the settings
 * @returns YAML
 */
export function printSettings(settings: unknown): string {
    return stringify(JSON.parse(JSON.stringify(settings))).trimEnd();
}
