import { parseArgs } from "node:util";
import { formatFaults, type LocatedFault } from "@galenaglade/configuration";
import { type Either, Left } from "purify-ts";
import { stringify } from "yaml";
import { badInputExitCode } from "./constants.js";
import { readTextFile } from "./resolveSettings.js";

/** Validates the text of a settings file and fills in defaults, such as `resolveGatewaySettings`. */
export type SettingsResolver<T> = (text: string) => Either<readonly LocatedFault[], T>;

/**
 * Reads and validates a settings file.
 *
 * @param path - path of the file
 * @param resolve - resolver of the file's text
 * @returns all faults formatted for display, or the settings
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

/** Result of parsing the command line and loading the settings. */
export type Startup<T> =
    | { readonly type: "run"; readonly settings: T; }
    /** The process prints `output` and exits; it has opened nothing yet. */
    | { readonly type: "exit"; readonly code: number; readonly output: string; };

/**
 * Parses the command line of a server process (`--settings FILE`, `--print-settings`, `--help`) and loads its settings.
 * It runs before any port is opened, so that an invalid file can't leave a process partially started.
 *
 * @param program - program name for the usage line
 * @param args - command line arguments, without Node and the script
 * @param resolve - resolver of the settings file
 * @returns the settings, or the output and exit code with which to exit
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
 * Formats resolved settings as YAML; secrets are printed as `[hidden]`.
 *
 * @param settings - the settings
 * @returns YAML
 */
export function printSettings(settings: unknown): string {
    return stringify(JSON.parse(JSON.stringify(settings))).trimEnd();
}
