import { type Violation } from "./events.js";

/** State of each availability zone, by name. */
export type ZoneStates = Readonly<Record<string, "in" | "out">>;

/** One line of the history of operators' zone changes. Lines are in the order in which they happened. */
export type OperatorChangeLine =
    /** An operator requested a change. A request without a response is repeated under the same change id. */
    | {
        readonly type: "zoneChangeCalled";
        readonly changeId: string;
        readonly availabilityZone: string;
        readonly state: "in" | "out";
    }
    /** The store committed a revision. */
    | {
        readonly type: "revisionStored";
        readonly changeId: string;
        readonly revision: number;
        readonly states: ZoneStates;
    }
    /** An operator received the response that the change is stored. */
    | { readonly type: "zoneChangeAnswered"; readonly changeId: string; readonly revision: number; };

type Called = Extract<OperatorChangeLine, { readonly type: "zoneChangeCalled"; }>;
type Stored = Extract<OperatorChangeLine, { readonly type: "revisionStored"; }>;

/**
 * Checks that operators' zone changes are linearizable: each takes effect at most once, between its first request and
 * its response, is based on the state stored at that time, and changes only its own zone.
 *
 * @param history - every line of a run
 * @param initial - zone states before the run
 * @returns violations, with indexes into `history` as lines; empty if the invariant held
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
                    report(`${line.changeId} got a response with revision ${line.revision}, which it had not stored`);
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
        return `revision ${line.revision} comes from ${line.changeId}, which no operator requested`;
    }
    if (before !== undefined) {
        return `${line.changeId} took effect as revision ${before.revision} and again as ${line.revision}`;
    }
    const expected: ZoneStates = { ...states, [call.availabilityZone]: call.state };
    const changed = Object.keys({ ...expected, ...line.states }).filter(zone => expected[zone] !== line.states[zone]);
    return changed.length === 0 ? undefined : `revision ${line.revision} has wrong states for ${changed.join(", ")}`;
}
