import { checkLeavingRespected } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequestsFor, startAnnouncingFleet } from "./support/announcingServers.js";

/** Time from a server's announcement that it shuts down until no requests may be sent to it. */
const drainMs = 2_000;

// Guards against sending new requests to a server that announces its shutdown in responses until the store shows it
// too.
test("a server that announces its shutdown in responses gets no new requests", async t => {
    const fleet = await startAnnouncingFleet(t, 2, ["a", "b", "c"]);
    fleet.servers.announceLeaving("a");
    await sendRequestsFor(fleet, 4_000, 15);
    assert.ok(fleet.servers.history.some(({ type }) => type === "leavingPassedOn"));
    assert.deepEqual(checkLeavingRespected(fleet.servers.history, drainMs), []);
});

// Guards against forgetting an announced shutdown when the server's entry expires and is written again around a store
// outage.
test("a server that shuts down gets no requests when its entry is written again, but does after a restart", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    fleet.servers.announceLeaving("a");
    await sendRequestsFor(fleet, 500, 15);
    fleet.servers.expireEntry("a");
    await sleep(600);
    fleet.servers.rewriteEntry("a");
    await sendRequestsFor(fleet, 2_500, 15);
    assert.deepEqual(checkLeavingRespected(fleet.servers.history, drainMs), []);
    fleet.servers.restart("a", 2);
    await sleep(600);
    const startedAtMs = performance.now();
    await sendRequestsFor(fleet, 600, 15);
    assert.ok(fleet.servers.countRequests("a", startedAtMs) > 0);
});

// Guards against losing the announcement of a shutdown with a response that was already streamed to the caller in part.
test("a server that announces its shutdown in a truncated response gets no more requests", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a"]);
    const [edge] = fleet.edges;
    assert.ok(edge);
    fleet.servers.announceLeavingInTruncatedResponse("a");
    await assert.rejects(fleet.servers.send(edge));
    const beforeMs = performance.now();
    assert.equal((await fleet.servers.send(edge)).status, 503);
    assert.equal(fleet.servers.countRequests("a", beforeMs), 0);
});
