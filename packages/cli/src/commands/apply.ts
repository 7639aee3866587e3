import { toConfigurationMessage } from "@galenaglade/schema";
import { type Either, Right } from "purify-ts";
import { type CallError } from "../callOutcome.js";
import { changeOptions, Command, type CommandContext, reportCallError } from "../command.js";
import { readConfigurationFile, reportFileFaults } from "../configurationFile.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { reportStanding } from "../standingOutput.js";

/** Replaces the configuration with the contents of a file. */
export class ApplyCommand extends Command {
    readonly name = "apply";
    readonly operands = ["FILE"];
    readonly summary = "replace the configuration with the contents of a file, and wait until it is in force";
    readonly options = changeOptions;
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const [file = ""] = context.operands;
        const read = readConfigurationFile(file);
        if (read.isLeft()) {
            return reportFileFaults(context, read.extract());
        }
        const expected = await this.#findExpectedRevision(context);
        if (expected.isLeft()) {
            return reportCallError(context, expected.extract());
        }
        const { client, changeId } = context;
        const request = {
            expectedRevision: expected.unsafeCoerce(),
            changeId,
            configuration: toConfigurationMessage(read.unsafeCoerce().declared),
        };
        const result = await client.call((operator, options) => operator.applyConfiguration(request, options));
        return result.caseOf<ExitCode>({
            Left: error => reportCallError(context, error, changeId),
            Right: ({ standing }) => standing === undefined ? exitCodes.failed : reportStanding(context, standing),
        });
    }

    /** Without `--expected-revision`, the change replaces the current revision and conflicts with any later one. */
    async #findExpectedRevision({ client, expectedRevision }: CommandContext): Promise<Either<CallError, number>> {
        if (expectedRevision !== undefined) {
            return Right(expectedRevision);
        }
        const result = await client.call((operator, options) => operator.getConfiguration({}, options));
        return result.map(({ revision }) => revision);
    }
}
