import { fromConfigurationMessage, type GetConfigurationResponse } from "@galenaglade/schema";
import { stringify } from "yaml";
import { Command, type CommandContext, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";

/** Prints the current configuration. */
export class GetCommand extends Command {
    readonly name = "get";
    readonly operands = [];
    readonly summary = "print the current configuration as YAML that apply accepts";
    readonly options = [];
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const result = await context.client.call((operator, options) => operator.getConfiguration({}, options));
        return result.caseOf<ExitCode>({
            Left: error => reportCallError(context, error),
            Right: response => {
                context.terminal.out(context.json ? formatJson(response) : formatYaml(response));
                return exitCodes.ok;
            },
        });
    }
}

function formatJson({ revision, changeId, configuration }: GetConfigurationResponse): string {
    return JSON.stringify({
        revision,
        changeId,
        configuration: configuration && fromConfigurationMessage(configuration),
    });
}

function formatYaml({ revision, changeId, configuration }: GetConfigurationResponse): string {
    if (configuration === undefined) {
        return "# revision 0: no configuration was ever written";
    }
    const document = stringify(fromConfigurationMessage(configuration), { lineWidth: 0 });
    return `# revision ${revision}, change ${changeId}\n${document.trimEnd()}`;
}
