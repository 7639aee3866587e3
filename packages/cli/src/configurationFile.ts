import {
    checkYaml,
    type Configuration,
    type ConfigurationInput,
    formatFaults,
    type LocatedFault,
    resolveConfiguration,
} from "@galenaglade/configuration";
import { readTextFile } from "@galenaglade/settings";
import { type Either, Left } from "purify-ts";
import { type CommandContext } from "./command.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";

/** A configuration file that has no faults. */
export interface ConfigurationFile {
    /** As written: a state that isn't written must not be sent as one. */
    readonly declared: ConfigurationInput;
    readonly resolved: Configuration;
}

/** Why a configuration file can't be used. */
export interface FileFaults {
    readonly file: string;
    /** Where the file can't be read at all. */
    readonly unreadable?: string;
    readonly faults: readonly LocatedFault[];
}

/**
 * Reads and checks a configuration file.
 *
 * @param file - its path
 * @returns all faults at once, or the configuration
 */
export function readConfigurationFile(file: string): Either<FileFaults, ConfigurationFile> {
    let text: string;
    try {
        text = readTextFile(file);
    }
    catch (err) {
        return Left({ file, unreadable: err instanceof Error ? err.message : String(err), faults: [] });
    }
    const checked = checkYaml(text, document =>
        resolveConfiguration(document).map(resolved => ({
            // What has been resolved has the shape that was checked.
            declared: document as ConfigurationInput,
            resolved,
        })));
    return checked.mapLeft(faults => ({ file, faults }));
}

/**
 * Says what is wrong with a file.
 *
 * @param context - where to say it
 * @param faults - what is wrong
 * @returns the exit code
 */
export function reportFileFaults(
    { json, terminal }: CommandContext,
    { file, unreadable, faults }: FileFaults,
): ExitCode {
    if (json) {
        terminal.out(JSON.stringify({ file, valid: false, unreadable, faults }));
    }
    else if (unreadable !== undefined) {
        terminal.err(`${file}: ${unreadable}`);
    }
    else {
        terminal.err(formatFaults(file, faults));
    }
    return exitCodes.badInput;
}
