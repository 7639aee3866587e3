import { type Command } from "./command.js";
import { environmentVariables } from "./constants.js";
import { formatTable } from "./terminal.js";

const exitCodeLines = [
    "exit codes: 0 done and in force, 1 failed, 2 bad input, 3 conflict, 4 stored but not in force yet,",
    "            5 unreachable",
];

/**
 * Formats the help of the program.
 *
 * @param commands - all commands
 * @returns lines of text
 */
export function formatHelp(commands: readonly Command[]): readonly string[] {
    const rows = commands.map(command => [synopsis(command), command.summary]);
    return [
        "usage: galenaglade COMMAND",
        "",
        ...formatTable(["COMMAND", ""], rows),
        "",
        "galenaglade COMMAND --help prints the options of a command.",
        ...exitCodeLines,
    ];
}

/**
 * Formats the help of one command.
 *
 * @param command - the command
 * @returns lines of text
 */
export function formatCommandHelp(command: Command): readonly string[] {
    const options = [
        ...command.options.map((
            { name, valuePlaceholder, description },
        ) => [`--${name} ${valuePlaceholder}`.trimEnd(), description]),
        ...(command.usesAdmin ? remoteOptions : []),
        ["--json", "print JSON, for scripts"],
        ["--help", "print this help"],
    ];
    return [
        `usage: galenaglade ${synopsis(command)} [OPTION...]`,
        command.summary,
        "",
        ...formatTable(["OPTION", ""], options),
        "",
        ...exitCodeLines,
    ];
}

const remoteOptions: readonly (readonly string[])[] = [
    [
        "--admin URL",
        `URL of an admin server, repeatable; defaults to the comma-separated list in ${environmentVariables.admin}`,
    ],
    ["--key-file FILE", `file with the fleet's key; defaults to ${environmentVariables.keyFile}`],
];

function synopsis({ name, operands }: Command): string {
    return [name, ...operands].join(" ");
}
