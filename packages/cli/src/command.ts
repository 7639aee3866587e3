import { type AdminClient } from "./adminClient.js";
import { type CallError, toExitCode } from "./callOutcome.js";
import { type ExitCode } from "./exitCodes.js";
import { replaceControlCharacters, type Terminal } from "./terminal.js";

/** One option of a command beyond those that all have. */
export interface CommandOption {
    readonly name: "expected-revision" | "change-id" | "yes";
    /** What stands for its value in the help; empty where it takes none. */
    readonly valuePlaceholder: string;
    readonly description: string;
}

/** What a command is run with. */
export interface CommandContext {
    readonly operands: readonly string[];
    readonly json: boolean;
    readonly expectedRevision: number | undefined;
    readonly changeId: string;
    /** The operator confirms what the command would otherwise not do. */
    readonly isConfirmed: boolean;
    readonly terminal: Terminal;
    /** Makes the client; only commands that call the operators' server ask for it. */
    readonly client: AdminClient;
}

/** One command. */
export abstract class Command {
    abstract readonly name: string;
    /** Names of its operands; a last one that ends with dots stands for one or more. */
    abstract readonly operands: readonly string[];
    abstract readonly summary: string;
    abstract readonly options: readonly CommandOption[];
    /** Whether it calls the operators' server. */
    abstract readonly usesAdmin: boolean;

    /**
     * @param context - the command line and the means
     * @returns how it ended
     */
    abstract run(context: CommandContext): Promise<ExitCode>;
}

/** The options of commands that change something. */
export const changeOptions: readonly CommandOption[] = [
    {
        name: "expected-revision",
        valuePlaceholder: "N",
        description: "change nothing unless this revision is present",
    },
    {
        name: "change-id",
        valuePlaceholder: "ID",
        description: "names the change, so that the command can be run again without a second effect",
    },
];

/**
 * Says why a call failed.
 *
 * @param context - where to say it
 * @param error - why
 * @param changeId - names the change where the call was one
 * @returns the exit code
 */
export function reportCallError({ json, terminal }: CommandContext, error: CallError, changeId?: string): ExitCode {
    if (json) {
        terminal.out(JSON.stringify({ error: { ...error, kind: error.kind ?? "unanswered" }, changeId }));
        return toExitCode(error);
    }
    terminal.err(`${error.kind ?? "no answer"}: ${replaceControlCharacters(error.detail)}`);
    if (error.presentRevision !== undefined) {
        terminal.err(`present revision: ${error.presentRevision}`);
    }
    if (changeId !== undefined && (error.kind === undefined || error.kind === "storeOutcomeUnknown")) {
        terminal.err(`the change may be stored; run the command again with --change-id ${changeId}`);
    }
    return toExitCode(error);
}
