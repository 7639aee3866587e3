import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedReachFleet } from "./support/simulatedReachFleet.js";
import { VirtualClock } from "./support/virtualClock.js";

// Guards against a gateway that mistakes one dead server for a failure of its own links, and queries other gateways.
test("a service counts as reached while only one of its servers refuses new connections", async t => {
    const clock = VirtualClock.install(t);
    const size = { gateways: 2, zones: 1, servers: 6, requestsPerSecond: 1, peersAnswer: true };
    const fleet = new SimulatedReachFleet(clock, createRandomSource(1), size);
    const [gateway] = fleet.gateways;
    assert.ok(gateway, "the fleet has a gateway");
    for (let i = 0; i < 10; i++) {
        const startedAtMs = clock.monotonicMs();
        const refused = {
            service: "tables",
            serverId: "server-0",
            isNewConnection: true,
            end: "refused",
            startedAtMs,
        } as const;
        await clock.advance(1);
        gateway.reachability.onContact(refused);
        gateway.reachability.onContact({ ...refused, serverId: "server-1", isNewConnection: false, end: "heard" });
        assert.equal(gateway.reachability.stateOf("tables"), "reached");
        await clock.advance(100);
    }
    fleet.stop();
});
