import assert from "node:assert/strict";
import { test } from "node:test";
import { LeavingTracker, type LeavingSource } from "../index.js";

test("whichever source says first that a server is leaving is believed at once", () => {
    for (const source of ["hostList", "health", "answer", "peer"] as const satisfies readonly LeavingSource[]) {
        const leaving = new LeavingTracker();
        assert.equal(leaving.onReport(source, true, "1", 0), true, source);
        assert.equal(leaving.isLeaving, true, source);
    }
});

// A drained server gets new work and cuts it: it said that it is leaving, and the endpoint or the list, which lag,
// still say that the same life of it is well.
test("a lagging source doesn't bring a leaving server back, and a new life of it does", () => {
    const leaving = new LeavingTracker();
    leaving.onReport("answer", true, "1", 0);
    leaving.onReport("health", false, "1", 100);
    leaving.onReport("hostList", false, undefined, 100);
    leaving.onReport("health", false, undefined, 100);
    assert.equal(leaving.isLeaving, true);
    leaving.onReport("health", false, "2", 200);
    assert.equal(leaving.isLeaving, false);
});

// A server that has come back gets no work for good: a peer repeats the word of its former life.
test("a late word of a life that is over doesn't take the next one out", () => {
    const leaving = new LeavingTracker();
    leaving.onReport("answer", true, "1", 0);
    leaving.onReport("health", false, "2", 100);
    leaving.onReport("peer", true, "1", 200);
    assert.equal(leaving.isLeaving, false);
});

test("without incarnations a server is back when the list says so that said it left, or after a long while", () => {
    const listed = new LeavingTracker();
    listed.onReport("hostList", true, undefined, 0);
    listed.onReport("hostList", false, undefined, 100);
    assert.equal(listed.isLeaving, false);
    const silent = new LeavingTracker();
    silent.onReport("answer", true, undefined, 0);
    silent.onReport("health", false, undefined, 29_999);
    assert.equal(silent.isLeaving, true);
    silent.onReport("health", false, undefined, 30_000);
    assert.equal(silent.isLeaving, false);
});
