import { checkLeavingHeeded } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequestsFor, startAnnouncingFleet } from "./support/announcingServers.js";

/** From a server's word that it leaves on until nothing more may be sent to it. */
const drainMs = 2_000;

// Guards against a server that says in its answers that it leaves, and goes on getting new work until the store says so too.
test("a server that says in its answers that it leaves gets no new work", async t => {
    const fleet = await startAnnouncingFleet(t, 2, ["a", "b", "c"]);
    fleet.servers.announceLeaving("a");
    await sendRequestsFor(fleet, 4_000, 15);
    assert.ok(fleet.servers.history.some(({ type }) => type === "leavingPassedOn"));
    assert.deepEqual(checkLeavingHeeded(fleet.servers.history, drainMs), []);
});

// Guards against a word that is forgotten as the store's entries lapse around an outage, while the same server leaves all the same.
test("a server that leaves gets nothing when its entry is written again, and its next life does", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a", "b"]);
    fleet.servers.announceLeaving("a");
    await sendRequestsFor(fleet, 500, 15);
    fleet.servers.expireEntry("a");
    await sleep(600);
    fleet.servers.rewriteEntry("a");
    await sendRequestsFor(fleet, 2_500, 15);
    assert.deepEqual(checkLeavingHeeded(fleet.servers.history, drainMs), []);
    fleet.servers.restart("a", 2);
    await sleep(600);
    const startedAtMs = performance.now();
    await sendRequestsFor(fleet, 600, 15);
    assert.ok(fleet.servers.countRequests("a", startedAtMs) > 0);
});

// Guards against a word that is lost with an answer which its caller got the beginning of.
test("a server that leaves says so in an answer that breaks off midway, and gets nothing more", async t => {
    const fleet = await startAnnouncingFleet(t, 1, ["a"]);
    const [edge] = fleet.edges;
    assert.ok(edge);
    fleet.servers.announceLeavingInTruncatedResponse("a");
    await assert.rejects(fleet.servers.send(edge));
    const beforeMs = performance.now();
    assert.equal((await fleet.servers.send(edge)).status, 503);
    assert.equal(fleet.servers.countRequests("a", beforeMs), 0);
});
