import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspectServers } from "../suspectServers.js";

// Guards against a version on trial that gets no requests for eight seconds, because under load a few probes were
// answered late and its servers stay suspected although they answer all later probes.
test("a suspicion that is due to unanswered probes ends with the next answered probe", () => {
    const suspects = new SuspectServers();
    for (let i = 0; i < 5; i++) {
        suspects.onProbeUnanswered("a", i * 50);
    }
    assert.ok(suspects.isSuspect("a", 1_000));
    suspects.onProbeResponse("a");
    assert.ok(!suspects.isSuspect("a", 1_000));
    suspects.onProbeUnanswered("a", 1_000);
    assert.ok(suspects.isSuspect("a", 1_900) && !suspects.isSuspect("a", 2_100));
});

// Guards against trusting a server that fails requests while it passes its health check and answers probes.
test("answered probes don't end a suspicion after a failed request, whatever probes were unanswered", () => {
    for (const events of [["silent", "failed"], ["failed", "silent"], ["failed"]]) {
        const suspects = new SuspectServers();
        for (const event of events) {
            if (event === "silent") {
                suspects.onProbeUnanswered("a", 0);
            }
            else {
                suspects.onFailure("a", 0);
            }
        }
        suspects.onProbeResponse("a");
        assert.ok(suspects.isSuspect("a", 900), events.join());
        suspects.onSuccess("a");
        assert.ok(!suspects.isSuspect("a", 900), events.join());
    }
});
