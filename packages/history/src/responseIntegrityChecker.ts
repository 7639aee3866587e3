import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that every response that a caller accepted as complete is complete and belongs to its request, and that each
 * request gets one response. A dropped connection is no response. A response without a backend server's body comes from
 * galenaglade itself and must be an error. What a server broke off or let fail doesn't become a success.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkResponseIntegrity(history: readonly HistoryLine[]): readonly Violation[] {
    const brokenOff = findBrokenOff(history);
    const answered = new Map<string, number>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "callerGotNoResponse") {
            const detail = `a caller got bytes that are no response (${line.detail})`;
            violations.push({ invariant: "wholeAnswer", detail, lines: [line.sequence] });
        }
        if (line.type !== "callerAnswered") {
            continue;
        }
        const found = (detail: string, lines: readonly number[] = [line.sequence]): void => {
            violations.push({ invariant: "wholeAnswer", detail: `${line.requestId} ${detail}`, lines });
        };
        if (!line.whole) {
            const received = line.received === undefined ? "" : ` (${line.received})`;
            found(`got a body that isn't its server's whole one as if it were${received}`);
        }
        const broken = line.run && brokenOff.get(renderRun(line.run.server, line.run.number));
        if (broken !== undefined && line.status < 400) {
            found("got a success that its server broke off or let fail", [broken, line.sequence]);
        }
        if (line.bodyRequestId === undefined && line.status < 400) {
            found("got a success response without its body");
        }
        if (line.bodyRequestId !== undefined && line.bodyRequestId !== line.requestId) {
            found(`got the response to ${line.bodyRequestId}`);
        }
        const first = answered.get(line.requestId);
        if (first !== undefined) {
            found("got two responses", [first, line.sequence]);
        }
        answered.set(line.requestId, first ?? line.sequence);
    }
    return violations;
}

/** @returns the line of each run whose response its server broke off or let fail */
function findBrokenOff(history: readonly HistoryLine[]): ReadonlyMap<string, number> {
    return new Map(
        history.flatMap(line =>
            line.type === "serverBrokeOff" ? [[renderRun(line.server, line.run), line.sequence]] : []
        ),
    );
}

function renderRun(server: string, run: number): string {
    return `${server}/${run}`;
}
