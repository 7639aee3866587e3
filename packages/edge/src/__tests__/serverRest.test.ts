import { checkServerBackoff } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequestsFor, startAnnouncingFleet } from "./support/announcingServers.js";

const backoffBounds = { inFlightGraceMs: 500, maxRequests: 2 };

// Guards against sending the usual load, or more, to a server that requested a back-off: since it executes nothing, it
// looks idle.
test("a server that requests a back-off gets no requests from the notified gateways until it ends", async t => {
    const fleet = await startAnnouncingFleet(t, 2, ["a", "b", "c"]);
    await sendRequestsFor(fleet, 500, 15);
    fleet.servers.setBackoff("a", 2);
    await sendRequestsFor(fleet, 5_000, 15);
    assert.deepEqual(checkServerBackoff(fleet.servers.history, backoffBounds), []);
});

// Guards against gateways that exclude a server permanently after its back-off.
test("a server whose back-off has ended is used again", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    fleet.servers.setBackoff("a", 1);
    await sendRequestsFor(fleet, 600, 15);
    fleet.servers.setBackoff("a", undefined);
    const backoffEndMs = performance.now() + 1_000;
    await sendRequestsFor(fleet, 2_000, 15);
    assert.ok(fleet.servers.countRequests("a", backoffEndMs) > 0);
});

// Guards against requests that wait or are sent although it is known that all servers would reject them.
test("while all servers of a service back off, a request is refused at once with the earliest retry time", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    const [edge] = fleet.edges;
    assert.ok(edge);
    fleet.servers.setBackoff("a", 30);
    fleet.servers.setBackoff("b", 20);
    await sendRequestsFor(fleet, 300, 15);
    const beforeMs = performance.now();
    const response = await fleet.servers.send(edge);
    assert.equal(response.status, 503);
    const retryAfter = Number(response.headers["retry-after"]);
    assert.ok(retryAfter > 15 && retryAfter <= 20.5, `${retryAfter} s`);
    assert.equal(fleet.servers.countRequests("a", beforeMs) + fleet.servers.countRequests("b", beforeMs), 0);
});

// Guards against a back-off that outlives its server: the next process with its id has requested none.
test("a restarted server isn't subject to the back-off requested before the restart", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a"]);
    fleet.servers.setBackoff("a", 60);
    await sendRequestsFor(fleet, 200, 15);
    fleet.servers.restart("a", 2);
    await sleep(600);
    assert.ok((await sendRequestsFor(fleet, 300, 15)).includes(200));
});
