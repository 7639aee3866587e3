import assert from "node:assert/strict";
import { test } from "node:test";
import { checkOperatorChanges, type OperatorChangeLine, type ZoneStates } from "../index.js";

const initial: ZoneStates = { a: "in", b: "in" };
const call = (changeId: string, availabilityZone: string): OperatorChangeLine => ({
    type: "zoneChangeCalled",
    changeId,
    availabilityZone,
    state: "out",
});
const store = (changeId: string, revision: number, a: "in" | "out", b: "in" | "out"): OperatorChangeLine => ({
    type: "revisionStored",
    changeId,
    revision,
    states: { a, b },
});
const answer = (changeId: string, revision: number): OperatorChangeLine => ({
    type: "zoneChangeAnswered",
    changeId,
    revision,
});
const detailsOf = (history: readonly OperatorChangeLine[]) =>
    checkOperatorChanges(history, initial).map(found => found.detail);

test("accepts two concurrent changes, one of them requested twice", () => {
    const history = [
        call("x", "a"),
        call("y", "b"),
        store("y", 2, "in", "out"),
        call("y", "b"),
        store("x", 3, "out", "out"),
        answer("y", 2),
        answer("x", 3),
    ];
    assert.deepEqual(detailsOf(history), []);
});

test("rejects a lost update: a change that undoes another operator's change", () => {
    const history = [call("x", "a"), call("y", "b"), store("x", 2, "out", "in"), store("y", 3, "in", "out")];
    assert.deepEqual(detailsOf(history), ["revision 3 has wrong states for a"]);
});

test("rejects a change that takes effect twice", () => {
    const history = [call("x", "a"), store("x", 2, "out", "in"), call("x", "a"), store("x", 3, "out", "in")];
    assert.deepEqual(detailsOf(history), ["x took effect as revision 2 and again as 3"]);
});

test("rejects a response that comes before the commit, without a commit, or with another revision", () => {
    assert.equal(detailsOf([call("x", "a"), answer("x", 2), store("x", 2, "out", "in")]).length, 1);
    assert.equal(detailsOf([call("x", "a"), answer("x", 1)]).length, 1);
    assert.equal(detailsOf([call("x", "a"), store("x", 2, "out", "in"), answer("x", 3)]).length, 1);
});

test("rejects a revision that no operator requested", () => {
    assert.deepEqual(detailsOf([store("z", 2, "in", "in")]), ["revision 2 comes from z, which no operator requested"]);
});
