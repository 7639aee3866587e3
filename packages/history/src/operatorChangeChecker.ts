import { type Violation } from "./events.js";

/** State of each availability zone by its name. */
export type ZoneStates = Readonly<Record<string, "in" | "out">>;

/** One line of the history of operators' zone changes, in the order in which they happened. */
export type OperatorChangeLine =
    /** A change was called; a call that goes unanswered is called again under the same id. */
    | {
        readonly type: "zoneChangeCalled";
        readonly changeId: string;
        readonly availabilityZone: string;
        readonly state: "in" | "out";
    }
    /** A revision took effect in the store. */
    | {
        readonly type: "revisionStored";
        readonly changeId: string;
        readonly revision: number;
        readonly states: ZoneStates;
    }
    /** An operator was told that the change is stored. */
    | { readonly type: "zoneChangeAnswered"; readonly changeId: string; readonly revision: number; };

type Called = Extract<OperatorChangeLine, { readonly type: "zoneChangeCalled"; }>;
type Stored = Extract<OperatorChangeLine, { readonly type: "revisionStored"; }>;

/**
 * Checks that operators' zone changes are linearizable: each takes effect once at most, between its first call and its
 * answer, on top of what was stored then, and changes nothing but its own zone.
 *
 * @param history - every line of a run
 * @param initial - states before the run
 * @returns what was found against it, with the lines' indexes; empty where the invariant held
 */
export function checkOperatorChanges(
    history: readonly OperatorChangeLine[],
    initial: ZoneStates,
): readonly Violation[] {
    const called = new Map<string, Called>();
    const stored = new Map<string, Stored>();
    const violations: Violation[] = [];
    let states = initial;
    for (const [i, line] of history.entries()) {
        const report = (detail: string) => violations.push({ invariant: "operatorChanges", detail, lines: [i] });
        switch (line.type) {
            case "zoneChangeCalled":
                called.set(line.changeId, line);
                break;
            case "revisionStored": {
                const fault = findStoredFault(line, called.get(line.changeId), stored.get(line.changeId), states);
                if (fault !== undefined) {
                    report(fault);
                }
                stored.set(line.changeId, line);
                states = line.states;
                break;
            }
            case "zoneChangeAnswered":
                if (stored.get(line.changeId)?.revision !== line.revision) {
                    report(`${line.changeId} was answered with revision ${line.revision}, which it had not stored`);
                }
                break;
        }
    }
    return violations;
}

function findStoredFault(
    line: Stored,
    call: Called | undefined,
    before: Stored | undefined,
    states: ZoneStates,
): string | undefined {
    if (call === undefined) {
        return `revision ${line.revision} comes from ${line.changeId}, which nobody called`;
    }
    if (before !== undefined) {
        return `${line.changeId} took effect as revision ${before.revision} and again as ${line.revision}`;
    }
    const expected: ZoneStates = { ...states, [call.availabilityZone]: call.state };
    const changed = Object.keys({ ...expected, ...line.states }).filter(zone => expected[zone] !== line.states[zone]);
    return changed.length === 0 ? undefined : `revision ${line.revision} left ${changed.join(", ")} wrong`;
}
