import { type WatchChangesResponse } from "@galenaglade/schema";
import { type CallError } from "../callOutcome.js";
import { Command, type CommandContext, reportCallError } from "../command.js";
import { retryDelayMs } from "../constants.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { describeProblems, summarizeStanding, toStandingObject } from "../standingOutput.js";
import { replaceControlCharacters } from "../terminal.js";

/** Prints which gateways have the configuration in force, initially and after every change. */
export class WatchCommand extends Command {
    readonly name = "watch";
    readonly operands = [];
    readonly summary =
        "print whether the configuration is in force, initially and after every change, until interrupted";
    readonly options = [];
    readonly usesAdmin = true;

    override async run(context: CommandContext): Promise<ExitCode> {
        const { client } = context;
        for (;;) {
            const error = await client.followStream(
                (operator, options) => operator.watchChanges({}, options),
                response => printEvent(context, response),
            );
            if (client.isInterrupted) {
                return exitCodes.ok;
            }
            if (!error.retryable) {
                return reportCallError(context, error);
            }
            reportLostConnection(context, error);
            await client.sleep(error.retryAfterMs ?? retryDelayMs);
        }
    }
}

function printEvent(context: CommandContext, { event }: WatchChangesResponse): void {
    const { json, terminal } = context;
    if (event.case === "standing") {
        const standing = event.value;
        const lines = json
            ? [JSON.stringify(toStandingObject(standing))]
            : [summarizeStanding(standing), ...describeProblems(standing)];
        lines.forEach(line => terminal.out(line));
    }
    else if (event.case === "failure") {
        const { kind, detail } = event.value;
        terminal.out(
            json ? JSON.stringify({ error: { kind, detail } }) : `${kind}: ${replaceControlCharacters(detail)}`,
        );
    }
}

/** Reports a lost connection: changes made until it is restored appear only in the next state that is received. */
function reportLostConnection({ json, terminal }: CommandContext, { kind, detail }: CallError): void {
    if (json) {
        terminal.out(JSON.stringify({ error: { kind: kind ?? "unanswered", detail } }));
    }
    else {
        terminal.err(`${kind ?? "no response"}: ${replaceControlCharacters(detail)}; reconnecting`);
    }
}
