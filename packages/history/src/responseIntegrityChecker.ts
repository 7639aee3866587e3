import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that every answer a caller took as complete is whole and its own. A connection that is cut is no answer;
 * an answer without a request's body is galenaglade's own and must be a refusal. Each request is answered once.
 *
 * @param history - every line of a run
 * @returns what was found against it; empty where the invariant held
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
            found("got a cut answer as if it were whole");
        }
        if (line.bodyRequestId === undefined && line.status < 400) {
            found("got an answer without its body");
        }
        if (line.bodyRequestId !== undefined && line.bodyRequestId !== line.requestId) {
            found(`got the answer of ${line.bodyRequestId}`);
        }
        const first = answered.get(line.requestId);
        if (first !== undefined) {
            found("was answered twice", [first, line.sequence]);
        }
        answered.set(line.requestId, first ?? line.sequence);
    }
    return violations;
}
