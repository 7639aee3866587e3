import { type AdminClient } from "./adminClient.js";
import { type CallError, toExitCode } from "./callOutcome.js";
import { type ExitCode } from "./exitCodes.js";
import { replaceControlCharacters, type Terminal } from "./terminal.js";

/** An option of a command, in addition to the common options. */
export interface CommandOption {
    readonly name: "expected-revision" | "change-id" | "yes";
    /** Placeholder for the value in the help; empty for a flag. */
    readonly valuePlaceholder: string;
    readonly description: string;
}

/** Arguments and dependencies of a command. */
export interface CommandContext {
    readonly operands: readonly string[];
    readonly json: boolean;
    readonly expectedRevision: number | undefined;
    readonly changeId: string;
    /** Whether the operator has confirmed an action that the command otherwise doesn't perform. */
    readonly isConfirmed: boolean;
    readonly terminal: Terminal;
    /** Client for the admin server; used only by commands that call it. */
    readonly client: AdminClient;
}

/** A command of the program. */
export abstract class Command {
    abstract readonly name: string;
    /** Names of the operands; a last one that ends with `...` accepts one or more values. */
    abstract readonly operands: readonly string[];
    abstract readonly summary: string;
    abstract readonly options: readonly CommandOption[];
    /** Whether the command calls the admin server. */
    abstract readonly usesAdmin: boolean;

    /**
     * @param context - arguments and dependencies
     * @returns the exit code
     */
    abstract run(context: CommandContext): Promise<ExitCode>;
}

/** Options of the commands that make a change. */
export const changeOptions: readonly CommandOption[] = [
    {
        name: "expected-revision",
        valuePlaceholder: "N",
        description: "make the change only if this is the current revision",
    },
    {
        name: "change-id",
        valuePlaceholder: "ID",
        description: "id of the change, so that the command can be repeated without applying the change twice",
    },
];

/**
 * Prints why a call failed.
 *
 * @param context - terminal and output format
 * @param error - the reason for the failure
 * @param changeId - id of the change, if the call makes one
 * @returns the exit code
 */
export function reportCallError({ json, terminal }: CommandContext, error: CallError, changeId?: string): ExitCode {
    if (json) {
        terminal.out(JSON.stringify({ error: { ...error, kind: error.kind ?? "unanswered" }, changeId }));
        return toExitCode(error);
    }
    terminal.err(`${error.kind ?? "no response"}: ${replaceControlCharacters(error.detail)}`);
    if (error.presentRevision !== undefined) {
        terminal.err(`current revision: ${error.presentRevision}`);
    }
    if (changeId !== undefined && (error.kind === undefined || error.kind === "storeOutcomeUnknown")) {
        terminal.err(`the change may be stored; run the command again with --change-id ${changeId}`);
    }
    return toExitCode(error);
}
