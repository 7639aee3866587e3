import assert from "node:assert/strict";
import { test } from "node:test";
import { Leaving, type LeavingSource } from "../index.js";

test("whichever source says first that a server is leaving is believed at once", () => {
    for (const source of ["hostList", "health", "answer", "peer"] as const satisfies readonly LeavingSource[]) {
        const leaving = new Leaving();
        assert.equal(leaving.onWord(source, true, "1", 0), true, source);
        assert.equal(leaving.isLeaving, true, source);
    }
});

// A drained server gets new work and cuts it: it said that it is leaving, and the endpoint or the list, which lag,
// still say that the same life of it is well.
test("a lagging source doesn't bring a leaving server back, and a new life of it does", () => {
    const leaving = new Leaving();
    leaving.onWord("answer", true, "1", 0);
    leaving.onWord("health", false, "1", 100);
    leaving.onWord("hostList", false, undefined, 100);
    leaving.onWord("health", false, undefined, 100);
    assert.equal(leaving.isLeaving, true);
    leaving.onWord("health", false, "2", 200);
    assert.equal(leaving.isLeaving, false);
});

// A server that has come back gets no work for good: a peer repeats the word of its former life.
test("a late word of a life that is over doesn't take the next one out", () => {
    const leaving = new Leaving();
    leaving.onWord("answer", true, "1", 0);
    leaving.onWord("health", false, "2", 100);
    leaving.onWord("peer", true, "1", 200);
    assert.equal(leaving.isLeaving, false);
});

test("without incarnations a server is back when the list says so that said it left, or after a long while", () => {
    const listed = new Leaving();
    listed.onWord("hostList", true, undefined, 0);
    listed.onWord("hostList", false, undefined, 100);
    assert.equal(listed.isLeaving, false);
    const silent = new Leaving();
    silent.onWord("answer", true, undefined, 0);
    silent.onWord("health", false, undefined, 29_999);
    assert.equal(silent.isLeaving, true);
    silent.onWord("health", false, undefined, 30_000);
    assert.equal(silent.isLeaving, false);
});
