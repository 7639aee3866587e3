import { Command, type CommandContext, type CommandOption, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { replaceControlCharacters } from "../terminal.js";

const danger = [
    "Say this only of a host that runs no more: its machine is off, or its gateway's process has ended.",
    "The gateway then counts as having agreed to leave the fleet. Should it serve on with others, out of touch, changes",
    "are called in force that they never heard of, and they may send work to an availability zone that was taken out.",
    "With --yes, it is done.",
];

const options: readonly CommandOption[] = [
    { name: "yes", valuePlaceholder: "", description: "say that the host runs no more; without it, nothing is done" },
];

/** Vouches that a lost host runs no more. */
export class HostCommand extends Command {
    readonly name = "host";
    readonly operands = ["forget", "NAME"];
    readonly summary = "vouch that a lost host's gateway runs no more, so that changes don't wait for it";
    readonly options = options;
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const { operands: [action, name = ""], isConfirmed, json, terminal, client } = context;
        if (action !== "forget") {
            terminal.err("host: expected forget, then the host's name");
            return exitCodes.badInput;
        }
        if (!isConfirmed) {
            danger.forEach(line => terminal.err(line));
            return exitCodes.badInput;
        }
        const answer = await client.call((operator, callOptions) => operator.forgetHost({ name }, callOptions));
        return answer.caseOf<ExitCode>({
            Left: error => reportCallError(context, error),
            Right: () => {
                terminal.out(
                    json ? JSON.stringify({ forgotten: name }) : `forgotten: ${replaceControlCharacters(name)}`,
                );
                return exitCodes.ok;
            },
        });
    }
}
