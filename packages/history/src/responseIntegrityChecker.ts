import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that every response that a caller accepted as complete is complete and belongs to its request, and that each
 * request gets one response. A dropped connection is no response. A response without a backend server's body comes from
 * galenaglade itself and must be an error.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkResponseIntegrity(history: readonly HistoryLine[]): readonly Violation[] {
    const answered = new Map<string, number>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "callerAnswered") {
            continue;
        }
        const found = (detail: string, lines: readonly number[] = [line.sequence]): void => {
            violations.push({ invariant: "wholeAnswer", detail: `${line.requestId} ${detail}`, lines });
        };
        if (!line.whole) {
            found("got a truncated response as if it were complete");
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
