import { Command, type CommandContext, type CommandOption, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { replaceControlCharacters } from "../terminal.js";

const forgetWarning = [
    "Forget a host only if it no longer runs: its machine is off, or its gateway process has ended.",
    "The gateway then counts as having agreed to leave the fleet. If it still serves, cut off along with others,",
    "changes are reported as in force that these gateways never received, and they may send requests to an",
    "availability zone that was taken out. Run the command again with --yes to forget the host.",
];

const options: readonly CommandOption[] = [
    {
        name: "yes",
        valuePlaceholder: "",
        description: "confirm that the host no longer runs; without it, nothing is done",
    },
];

/** Confirms, on the operator's responsibility, that the gateway of a lost host no longer runs. */
export class HostCommand extends Command {
    readonly name = "host";
    readonly operands = ["forget", "NAME"];
    readonly summary = "confirm that the gateway of a lost host no longer runs, so that changes don't wait for it";
    readonly options = options;
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const { operands: [action, name = ""], isConfirmed, json, terminal, client } = context;
        if (action !== "forget") {
            terminal.err("host: expected forget, followed by the name of the host");
            return exitCodes.badInput;
        }
        if (!isConfirmed) {
            forgetWarning.forEach(line => terminal.err(line));
            return exitCodes.badInput;
        }
        const result = await client.call((operator, callOptions) => operator.forgetHost({ name }, callOptions));
        return result.caseOf<ExitCode>({
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
