import { type HistoryLine, type Violation } from "./events.js";

/**
 * Checks that an accepted configuration is in force: once a revision is accepted, no gateway sends new requests under
 * an older one.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkConfigurationInForce(history: readonly HistoryLine[]): readonly Violation[] {
    let accepted = { revision: 0, sequence: -1 };
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type === "configurationAccepted" && line.revision > accepted.revision) {
            accepted = { revision: line.revision, sequence: line.sequence };
        }
        if (line.type === "workSent" && line.revision < accepted.revision) {
            violations.push({
                invariant: "configurationInForce",
                detail: `${line.process} sent a request under ${line.revision} after ${accepted.revision} was accepted`,
                lines: [accepted.sequence, line.sequence],
            });
        }
    }
    return violations;
}

/**
 * Checks that no process reverts to an older configuration: the revisions that it applies increase, and it sends
 * requests under the one that it applied last.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkConfigurationNeverReverts(history: readonly HistoryLine[]): readonly Violation[] {
    const applied = new Map<string, { readonly revision: number; readonly sequence: number; }>();
    const violations: Violation[] = [];
    for (const line of history) {
        if (line.type !== "configurationApplied" && line.type !== "workSent") {
            continue;
        }
        const before = applied.get(line.process) ?? { revision: 0, sequence: -1 };
        const inOrder = line.type === "workSent"
            ? line.revision === before.revision
            : line.revision > before.revision;
        if (!inOrder) {
            violations.push({
                invariant: "configurationNeverReverts",
                detail:
                    `${line.process}: ${line.type} with revision ${line.revision} after ${before.revision} was applied`,
                lines: [before.sequence, line.sequence],
            });
        }
        applied.set(line.process, { revision: line.revision, sequence: line.sequence });
    }
    return violations;
}

/**
 * Checks the order of configuration changes: each revision and each change id is written once, no revision is skipped
 * or overwritten, and every accepted or applied revision was written before.
 *
 * @param history - every line of a run
 * @returns violations; empty if the invariant held
 */
export function checkConfigurationOrder(history: readonly HistoryLine[]): readonly Violation[] {
    const writtenBy = new Map<number, string>();
    const violations: Violation[] = [];
    for (const line of history) {
        const fault = findOrderFault(line, writtenBy);
        if (fault !== undefined) {
            violations.push({ invariant: "configurationOrder", detail: fault, lines: [line.sequence] });
        }
        if (line.type === "configurationWritten") {
            writtenBy.set(line.revision, line.changeId);
        }
    }
    return violations;
}

function findOrderFault(line: HistoryLine, writtenBy: ReadonlyMap<number, string>): string | undefined {
    switch (line.type) {
        case "configurationWritten":
            if (line.revision !== writtenBy.size + 1) {
                return `revision ${line.revision} was written after revision ${writtenBy.size}`;
            }
            return [...writtenBy.values()].includes(line.changeId) ? `${line.changeId} was written twice` : undefined;
        case "configurationAccepted":
            return writtenBy.get(line.revision) === line.changeId
                ? undefined
                : `${line.changeId} was accepted as revision ${line.revision}, which another change or none wrote`;
        case "configurationApplied":
            return writtenBy.has(line.revision) ? undefined : `revision ${line.revision} was applied and never written`;
        default:
            return undefined;
    }
}
