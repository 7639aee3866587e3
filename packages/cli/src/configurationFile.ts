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

/** A valid configuration file. */
export interface ConfigurationFile {
    /** The configuration as written, without defaults: a zone state that is missing in the file must not be sent. */
    readonly declared: ConfigurationInput;
    readonly resolved: Configuration;
}

/** Errors in a configuration file. */
export interface FileFaults {
    readonly file: string;
    /** Error message if the file can't be read. */
    readonly unreadable?: string;
    readonly faults: readonly LocatedFault[];
}

/**
 * Reads and validates a configuration file.
 *
 * @param file - path of the file
 * @returns the configuration, or all errors in it
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
            // The cast is safe: the document has passed validation.
            declared: document as ConfigurationInput,
            resolved,
        })));
    return checked.mapLeft(faults => ({ file, faults }));
}

/**
 * Prints the errors in a configuration file.
 *
 * @param context - terminal and output format
 * @param faults - the errors
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
