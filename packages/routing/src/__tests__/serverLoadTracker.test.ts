import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer } from "@galenaglade/configuration";
import { type Candidate, ServerLoadTracker } from "../index.js";

const server: BackendServer = {
    name: "a",
    availabilityZone: "north",
    address: "127.0.0.1",
    port: 1,
    slots: 3,
    connections: 200,
};

function createCandidate(tracker: ServerLoadTracker, nowMs: number, usesPeerLoads = false): Candidate {
    return tracker.createCandidate("tables/a", server, true, usesPeerLoads, nowMs);
}

test("a load report counts other gateways' requests only, and is ignored once old or used too often", () => {
    // A server reports once that it is idle, and then nothing more. If the report stayed valid, every gateway would
    // send all requests to that server, so it is ignored after a few requests or a fraction of a second.
    const tracker = new ServerLoadTracker();
    tracker.onSent("tables/a");
    tracker.onReport("tables/a", { inFlight: 3 }, 1_000);
    assert.equal(createCandidate(tracker, 1_000).othersInFlight, 2);
    assert.equal(createCandidate(tracker, 1_251).othersInFlight, undefined);
    tracker.onReport("tables/a", { inFlight: 1 }, 2_000);
    for (let i = 0; i < 4; i++) {
        assert.equal(createCandidate(tracker, 2_001).othersInFlight, 0);
        tracker.onSent("tables/a");
    }
    assert.equal(createCandidate(tracker, 2_001).othersInFlight, undefined);
});

test("sums the recent in-flight counts of other gateways and ignores old ones", () => {
    const tracker = new ServerLoadTracker();
    const load = { serverId: "tables/a", ownInFlight: 2, reportedInFlight: undefined } as const;
    tracker.onPeerLoad("gateway-1", { ...load, ageMs: 0 }, 100);
    tracker.onPeerLoad("gateway-2", { ...load, ageMs: 200 }, 100);
    assert.equal(createCandidate(tracker, 100, true).othersInFlight, 4);
    assert.equal(createCandidate(tracker, 200, true).othersInFlight, 2);
});

test("counts own requests exactly, and removes an unconfigured server only when it is idle", () => {
    const tracker = new ServerLoadTracker();
    tracker.onSent("tables/a");
    tracker.onSent("tables/a");
    tracker.onEnded("tables/a", 10, 4);
    tracker.retain(new Set());
    assert.equal(tracker.ownInFlight("tables/a"), 1);
    assert.equal(createCandidate(tracker, 10).latencyMs, 4);
    tracker.onEnded("tables/a", 20, undefined);
    tracker.retain(new Set());
    assert.equal(createCandidate(tracker, 20).latencyMs, undefined);
});
