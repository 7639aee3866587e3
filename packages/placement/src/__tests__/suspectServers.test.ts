import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspectServers } from "../suspectServers.js";

// Guards against a version on trial that gets no requests for eight seconds, because under load a few probes were
// answered late and its servers stay suspected although they answer all later probes.
test("a suspicion that is due to unanswered probes ends with the next answered probe", () => {
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

// Guards against trusting a server that fails requests while it passes its health check and answers probes.
test("answered probes don't end a suspicion after a failed request, whatever probes were unanswered", () => {
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
