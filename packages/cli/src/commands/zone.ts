import { type BringZoneInResponse, type TakeZoneOutResponse } from "@galenaglade/schema";
import { type Either } from "purify-ts";
import { type CallError } from "../callOutcome.js";
import { changeOptions, Command, type CommandContext, reportCallError } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { reportStanding } from "../standingOutput.js";

/** Takes an availability zone out of service or returns it to service. */
export class ZoneCommand extends Command {
    readonly name = "zone";
    readonly operands = ["out|in", "NAME"];
    readonly summary = "take an availability zone out of service or return it, and wait until the change is in force";
    readonly options = changeOptions;
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const [state, name = ""] = context.operands;
        if (state !== "out" && state !== "in") {
            context.terminal.err("zone: expected out or in, followed by the name of the availability zone");
            return exitCodes.badInput;
        }
        const result = await this.#change(context, state, name);
        return result.caseOf<ExitCode>({
            Left: error => reportCallError(context, error, context.changeId),
            Right: ({ standing }) => standing === undefined ? exitCodes.failed : reportStanding(context, standing),
        });
    }

    #change(
        { client, changeId, expectedRevision }: CommandContext,
        state: "out" | "in",
        name: string,
    ): Promise<Either<CallError, TakeZoneOutResponse | BringZoneInResponse>> {
        const request = { name, changeId, expectedRevision };
        return state === "out"
            ? client.call((operator, options) => operator.takeZoneOut(request, options))
            : client.call((operator, options) => operator.bringZoneIn(request, options));
    }
}
