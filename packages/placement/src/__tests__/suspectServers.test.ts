import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspectServers } from "../suspectServers.js";

// A suspected server gets no trial request, and only an answered request ended the suspicion: a version on trial got nothing for
// eight seconds after a few questions that came late beside load, though its servers answered all later ones.
test("a server that was silent is trusted again once it tells its load", () => {
    const trust = new SuspectServers();
    for (let i = 0; i < 5; i++) {
        trust.onProbeUnanswered("a", i * 50);
    }
    assert.ok(trust.isSuspect("a", 1_000));
    trust.onProbeResponse("a");
    assert.ok(!trust.isSuspect("a", 1_000));
    trust.onProbeUnanswered("a", 1_000);
    assert.ok(trust.isSuspect("a", 1_900) && !trust.isSuspect("a", 2_100));
});

// A server that fails requests while its health check is good tells its load all the time.
test("a server that failed a request stays suspected whatever it tells, also where it was silent before or after", () => {
    for (const order of [["silent", "failed"], ["failed", "silent"], ["failed"]]) {
        const trust = new SuspectServers();
        for (const each of order) {
            if (each === "silent") {
                trust.onProbeUnanswered("a", 0);
            }
            else {
                trust.onFailure("a", 0);
            }
        }
        trust.onProbeResponse("a");
        assert.ok(trust.isSuspect("a", 900), order.join());
        trust.onSuccess("a");
        assert.ok(!trust.isSuspect("a", 900), order.join());
    }
});
