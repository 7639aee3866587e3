import { type Configuration } from "@galenaglade/configuration";
import { Command, type CommandContext } from "../command.js";
import { readConfigurationFile, reportFileFaults } from "../configurationFile.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";

/** Validates a configuration file locally, without calling an admin server. */
export class CheckCommand extends Command {
    readonly name = "check";
    readonly operands = ["FILE"];
    readonly summary = "check a configuration file";
    readonly options = [];
    readonly usesAdmin = false;

    override run(context: CommandContext): Promise<ExitCode> {
        const [file = ""] = context.operands;
        const code = readConfigurationFile(file).caseOf<ExitCode>({
            Left: faults => reportFileFaults(context, faults),
            Right: ({ resolved }) => {
                context.terminal.out(
                    context.json ? JSON.stringify({ file, valid: true }) : summarizeConfiguration(file, resolved),
                );
                return exitCodes.ok;
            },
        });
        return Promise.resolve(code);
    }
}

function summarizeConfiguration(file: string, cfg: Configuration): string {
    const servers = cfg.services.reduce((sum, service) => sum + service.backendServers.length, 0);
    const zones = cfg.availabilityZones.length;
    return `${file}: valid, ${zones} availability zones, ${cfg.services.length} services, ${servers} backend servers`;
}
