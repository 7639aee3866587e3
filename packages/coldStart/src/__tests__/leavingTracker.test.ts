import assert from "node:assert/strict";
import { test } from "node:test";
import { LeavingTracker, type LeavingSource } from "../index.js";

test("the first report that a server is leaving takes effect at once, whatever its source", () => {
    for (const source of ["hostList", "health", "answer", "peer"] as const satisfies readonly LeavingSource[]) {
        const leaving = new LeavingTracker();
        assert.equal(leaving.onReport(source, true, "1", 0), true, source);
        assert.equal(leaving.isLeaving, true, source);
    }
});

// A draining server gets new requests and aborts them: it reported that it is leaving, but the health endpoint or the
// host list lags and still reports the same incarnation as live.
test("a leaving server is not brought back by a lagging source, but by a new incarnation", () => {
    const leaving = new LeavingTracker();
    leaving.onReport("answer", true, "1", 0);
    leaving.onReport("health", false, "1", 100);
    leaving.onReport("hostList", false, undefined, 100);
    leaving.onReport("health", false, undefined, 100);
    assert.equal(leaving.isLeaving, true);
    leaving.onReport("health", false, "2", 200);
    assert.equal(leaving.isLeaving, false);
});

// A server that has come back gets no requests ever again, since a peer repeats a report about its old incarnation.
test("a late report on an old incarnation doesn't take the new one out of service", () => {
    const leaving = new LeavingTracker();
    leaving.onReport("answer", true, "1", 0);
    leaving.onReport("health", false, "2", 100);
    leaving.onReport("peer", true, "1", 200);
    assert.equal(leaving.isLeaving, false);
});

test("a server without incarnations comes back by the host list that reported it, or after a timeout", () => {
    const listed = new LeavingTracker();
    listed.onReport("hostList", true, undefined, 0);
    listed.onReport("hostList", false, undefined, 100);
    assert.equal(listed.isLeaving, false);
    const withoutList = new LeavingTracker();
    withoutList.onReport("answer", true, undefined, 0);
    withoutList.onReport("health", false, undefined, 29_999);
    assert.equal(withoutList.isLeaving, true);
    withoutList.onReport("health", false, undefined, 30_000);
    assert.equal(withoutList.isLeaving, false);
});
