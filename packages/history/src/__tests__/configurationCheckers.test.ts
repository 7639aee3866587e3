import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkConfigurationInForce,
    checkConfigurationNeverReverts,
    checkConfigurationOrder,
    type HistoryEvent,
    type HistoryLine,
} from "../index.js";

function createHistory(...events: readonly HistoryEvent[]): readonly HistoryLine[] {
    return events.map((event, sequence) => ({ sequence, atMs: sequence, process: "gw1", ...event }));
}

function written(revision: number, changeId: string): HistoryEvent {
    return { type: "configurationWritten", revision, changeId };
}

function accepted(revision: number, changeId: string): HistoryEvent {
    return { type: "configurationAccepted", revision, changeId };
}

function applied(revision: number): HistoryEvent {
    return { type: "configurationApplied", gateway: "gw1", revision };
}

function sent(revision: number): HistoryEvent {
    return { type: "workSent", gateway: "gw1", revision, requestId: "r", server: "s", availabilityZone: "a" };
}

const good = [
    written(1, "a"),
    applied(1),
    sent(1),
    written(2, "b"),
    sent(1),
    applied(2),
    accepted(2, "b"),
    sent(2),
];

test("a valid history passes every configuration checker", () => {
    const history = createHistory(...good);
    assert.deepEqual(checkConfigurationInForce(history), []);
    assert.deepEqual(checkConfigurationNeverReverts(history), []);
    assert.deepEqual(checkConfigurationOrder(history), []);
});

test("reports a request sent under an older revision after a newer one was accepted", () => {
    const found = checkConfigurationInForce(createHistory(...good, sent(1)));
    assert.deepEqual(found.map(violation => violation.lines), [[6, 8]]);
});

test("reports a process that applies a revision twice or goes back to a lower one", () => {
    assert.equal(checkConfigurationNeverReverts(createHistory(...good, applied(2))).length, 1);
    assert.equal(checkConfigurationNeverReverts(createHistory(...good, applied(1))).length, 1);
    assert.equal(checkConfigurationNeverReverts(createHistory(...good, sent(1))).length, 1);
});

test("reports skipped and overwritten revisions, a change written twice, and changes that were never written", () => {
    assert.equal(checkConfigurationOrder(createHistory(...good, written(2, "c"))).length, 1);
    assert.equal(checkConfigurationOrder(createHistory(...good, written(4, "c"))).length, 1);
    assert.equal(checkConfigurationOrder(createHistory(...good, written(3, "a"))).length, 1);
    assert.equal(checkConfigurationOrder(createHistory(...good, accepted(2, "a"))).length, 1);
    assert.equal(checkConfigurationOrder(createHistory(...good, applied(3))).length, 1);
});
