import { checkServerRest } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequestsFor, startAnnouncingFleet } from "./support/announcingServers.js";

const restBounds = { onTheWayMs: 500, allowed: 2 };

// Guards against a server that asks for rest and goes on getting its usual load, or more, since a server that runs nothing looks idle.
test("a server that asks for rest gets no request of the gateways that it has told until its end", async t => {
    const fleet = await startAnnouncingFleet(t, 2, ["a", "b", "c"]);
    await sendRequestsFor(fleet, 500, 15);
    fleet.servers.setBackoff("a", 2);
    await sendRequestsFor(fleet, 5_000, 15);
    assert.deepEqual(checkServerRest(fleet.servers.history, restBounds), []);
});

// Guards against gateways that keep a server out for good: after its rest it is as good as any other.
test("a server that has had its rest is used again", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    fleet.servers.setBackoff("a", 1);
    await sendRequestsFor(fleet, 600, 15);
    fleet.servers.setBackoff("a", undefined);
    const restedAtMs = performance.now() + 1_000;
    await sendRequestsFor(fleet, 2_000, 15);
    assert.ok(fleet.servers.countRequests("a", restedAtMs) > 0);
});

// Guards against requests that wait, or are sent in vain, while it is known that no server takes any.
test("where all servers of a service rest, a request is refused at once with the soonest end of it", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    const [edge] = fleet.edges;
    assert.ok(edge);
    fleet.servers.setBackoff("a", 30);
    fleet.servers.setBackoff("b", 20);
    await sendRequestsFor(fleet, 300, 15);
    const beforeMs = performance.now();
    const got = await fleet.servers.send(edge);
    assert.equal(got.status, 503);
    const retryAfter = Number(got.headers["retry-after"]);
    assert.ok(retryAfter > 15 && retryAfter <= 20.5, `${retryAfter} s`);
    assert.equal(fleet.servers.countRequests("a", beforeMs) + fleet.servers.countRequests("b", beforeMs), 0);
});

// Guards against a rest that outlives its server: the next life under its id has asked for none.
test("a server that was started again isn't held to the rest of its life before", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a"]);
    fleet.servers.setBackoff("a", 60);
    await sendRequestsFor(fleet, 200, 15);
    fleet.servers.restart("a", 2);
    await sleep(600);
    assert.ok((await sendRequestsFor(fleet, 300, 15)).includes(200));
});
