import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReachFleet } from "./support/simulatedReach.js";
import { VirtualTime } from "./support/virtualTime.js";

// Guards against one dead server of several that is taken for links that open no new connection, with questions to the whole fleet.
test("a gateway doesn't doubt its links for one server that refuses new connections", async t => {
    const time = VirtualTime.install(t);
    const size = { gateways: 2, zones: 1, servers: 6, requestsPerSecond: 1, askEachOther: true };
    const fleet = new ReachFleet(time, createRandomSource(1), size);
    const [gateway] = fleet.gateways;
    assert.ok(gateway, "there is one");
    for (let i = 0; i < 10; i++) {
        const startedAtMs = time.monotonicMs();
        const refused = {
            service: "tables",
            serverId: "server-0",
            isNewConnection: true,
            end: "refused",
            startedAtMs,
        } as const;
        await time.pass(1);
        gateway.reach.onContact(refused);
        gateway.reach.onContact({ ...refused, serverId: "server-1", isNewConnection: false, end: "heard" });
        assert.equal(gateway.reach.stateOf("tables"), "reached");
        await time.pass(100);
    }
    fleet.stop();
});
