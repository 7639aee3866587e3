import { readTextFile } from "@galenaglade/settings";
import { Command, type CommandContext } from "../command.js";
import { type ExitCode, exitCodes } from "../exitCodes.js";
import { explainRequest, formatLine, summarizeFailures } from "../explain/explainRequest.js";
import { type LogLine, readLog } from "../explain/logLine.js";
import { replaceControlCharacters } from "../terminal.js";

/** Operand that selects all failed requests, instead of a request id. */
const allFailures = "all";

/** Explains the outcome of a request from the logs of several hosts. */
export class ExplainCommand extends Command {
    readonly name = "explain";
    readonly operands = ["REQUEST-ID|all", "FILE..."];
    readonly summary = "explain the outcome of a request from hosts' logs, or count all failures by cause";
    readonly options = [];
    readonly usesAdmin = false;

    override run(context: CommandContext): Promise<ExitCode> {
        const { operands: [requestId = "", ...files], terminal } = context;
        const lines: LogLine[] = [];
        for (const file of files) {
            try {
                const parsed = readLog(readTextFile(file));
                lines.push(...parsed.lines);
                if (parsed.unreadable > 0) {
                    terminal.err(`${file}: skipped ${parsed.unreadable} lines that are not log lines`);
                }
            }
            catch (err) {
                terminal.err(`${file}: ${err instanceof Error ? err.message : String(err)}`);
                return Promise.resolve(exitCodes.badInput);
            }
        }
        return Promise.resolve(
            requestId === allFailures ? this.#summarize(context, lines) : this.#explain(context, requestId, lines),
        );
    }

    #summarize({ json, terminal }: CommandContext, lines: readonly LogLine[]): ExitCode {
        const causes = summarizeFailures(lines);
        if (json) {
            terminal.out(JSON.stringify(causes));
            return exitCodes.ok;
        }
        for (const { kind, detail, count, example } of causes) {
            terminal.out(
                `${count} ${kind}: ${replaceControlCharacters(detail)} (such as ${replaceControlCharacters(example)})`,
            );
        }
        return exitCodes.ok;
    }

    #explain({ json, terminal }: CommandContext, requestId: string, lines: readonly LogLine[]): ExitCode {
        const relevantLines = explainRequest(requestId, lines);
        if (relevantLines.length === 0) {
            terminal.err(`no log line has the request id ${replaceControlCharacters(requestId)}`);
            return exitCodes.badInput;
        }
        for (const line of relevantLines) {
            terminal.out(json ? JSON.stringify(line) : replaceControlCharacters(formatLine(line)));
        }
        return exitCodes.ok;
    }
}
