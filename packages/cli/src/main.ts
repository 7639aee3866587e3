import { Secret } from "@galenaglade/settings";
import { randomUUID } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import { AdminClient } from "./adminClient.js";
import { type Command } from "./command.js";
import { type CommandLine, type Environment, parseCommandLine } from "./commandLine.js";
import { ApplyCommand } from "./commands/apply.js";
import { CheckCommand } from "./commands/check.js";
import { ExplainCommand } from "./commands/explain.js";
import { GetCommand } from "./commands/get.js";
import { HostCommand } from "./commands/host.js";
import { StatusCommand } from "./commands/status.js";
import { WatchCommand } from "./commands/watch.js";
import { ZoneCommand } from "./commands/zone.js";
import { type ExitCode, exitCodes } from "./exitCodes.js";
import { formatCommandHelp, formatHelp } from "./help.js";
import { type Terminal } from "./terminal.js";

/** All commands, in the order shown in the help. */
export const commands: readonly Command[] = [
    new CheckCommand(),
    new ApplyCommand(),
    new GetCommand(),
    new ZoneCommand(),
    new StatusCommand(),
    new WatchCommand(),
    new HostCommand(),
    new ExplainCommand(),
];

/** Arguments and environment of the program. */
export interface MainOptions {
    /** Command-line arguments without the paths of Node.js and the script. */
    readonly args: readonly string[];
    readonly env: Environment;
    readonly terminal: Terminal;
    /** Aborted when the program is interrupted. */
    readonly signal: AbortSignal;
    /** Replaces sleeping, for tests. */
    readonly sleep?: ((ms: number) => Promise<void>) | undefined;
}

/**
 * Runs the program.
 *
 * @param options - arguments and environment
 * @returns the exit code
 */
export async function main(options: MainOptions): Promise<ExitCode> {
    const { args, env, terminal } = options;
    const [name = "--help", ...rest] = args;
    if (name === "--help" || name === "-h") {
        formatHelp(commands).forEach(line => terminal.out(line));
        return args.length === 0 ? exitCodes.badInput : exitCodes.ok;
    }
    const command = commands.find(candidate => candidate.name === name);
    if (command === undefined) {
        terminal.err(`unknown command ${name}; commands: ${commands.map(candidate => candidate.name).join(", ")}`);
        return exitCodes.badInput;
    }
    return parseCommandLine(command, rest, env).caseOf<ExitCode | Promise<ExitCode>>({
        Left: faults => {
            faults.forEach(fault => terminal.err(fault));
            terminal.err(`galenaglade ${name} --help prints the options`);
            return exitCodes.badInput;
        },
        Right: line => run(line, options),
    });
}

function run(line: CommandLine, { terminal, signal, sleep: wait }: MainOptions): ExitCode | Promise<ExitCode> {
    if (line.help) {
        formatCommandHelp(line.command).forEach(text => terminal.out(text));
        return exitCodes.ok;
    }
    const client = new AdminClient({
        addresses: line.addresses,
        fleetKey: line.fleetKey ?? new Secret(""),
        sleep: wait ?? (ms => pauseUnlessInterrupted(ms, signal)),
        signal,
    });
    return line.command.run({
        operands: line.operands,
        json: line.json,
        expectedRevision: line.expectedRevision,
        changeId: line.changeId ?? randomUUID(),
        isConfirmed: line.isConfirmed,
        terminal,
        client,
    });
}

async function pauseUnlessInterrupted(ms: number, signal: AbortSignal): Promise<void> {
    try {
        await pause(ms, undefined, { signal });
    }
    catch {
        // Interrupted; the caller checks the signal.
    }
}
