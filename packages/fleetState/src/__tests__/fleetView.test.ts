import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetView, lapsedEntryGraceMs, storeOutageThresholdMs, storeReconnectWindowMs } from "../index.js";
import { configurationItem, createRoute, serverItem } from "./builders.js";

function usableIds(view: FleetView, nowMs: number): readonly string[] {
    return view.usableServers("tables", nowMs).map(({ id }) => id).sort();
}

function createView(): FleetView {
    const view = new FleetView();
    view.onStoreContact(0);
    view.onFullRead([configurationItem(5), serverItem("a"), serverItem("b", { availabilityZone: "south" })], 0);
    return view;
}

// Guards against a route that an operator has deleted and that reappears: after an outage a gateway may read a stale
// replica, and two watches may deliver versions out of order.
test("an older configuration version never replaces a newer one", () => {
    const view = createView();
    view.onChanges({ items: [configurationItem(9, [createRoute("/new/")])], deletedKeys: [] }, 1);
    view.onChanges({ items: [configurationItem(7, [createRoute("/old/")])], deletedKeys: [] }, 2);
    view.onFullRead([configurationItem(5, [createRoute("/old/")])], 3);
    assert.equal(view.configurationInForce?.configuration.version, 9);
    assert.equal(view.configurationInForce.routes.find("survey.example", "/old/x"), undefined);
});

test("a configuration stays in force after its key is deleted", () => {
    const view = createView();
    view.onFullRead([serverItem("a")], 1);
    assert.equal(view.configurationInForce?.configuration.version, 5);
});

test("an evacuated zone gets no requests until its evacuation is withdrawn", () => {
    const view = createView();
    view.onChanges({ items: [{ type: "zoneOut", key: "out/south", availabilityZone: "south" }], deletedKeys: [] }, 1);
    assert.deepEqual(usableIds(view, 1), ["a"]);
    assert.equal(view.isUsable("b", 1), false);
    view.onChanges({ items: [], deletedKeys: ["out/south"] }, 2);
    assert.deepEqual(usableIds(view, 2), ["a", "b"]);
});

test("a server that drains or whose entry is deleted gets no more requests", () => {
    const view = createView();
    const fleetChanges = view.onChanges(
        { items: [serverItem("a", { state: "draining" })], deletedKeys: ["servers/b"] },
        1,
    );
    assert.deepEqual(usableIds(view, 1), []);
    assert.deepEqual(fleetChanges.map(({ name, change }) => `${name} ${change}`), ["b removed", "a draining"]);
});

// Guards against refusing every request for two seconds although all servers work: during a long outage of the store no
// server can renew its entry, and all entries have expired when it answers again.
test("entries that expired during a store outage are kept until servers had time to re-create them", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    const recoveredMs = 1_000 + storeOutageThresholdMs + 1;
    assert.equal(view.onStoreContact(recoveredMs), storeOutageThresholdMs + 1);
    view.onFullRead([configurationItem(5)], recoveredMs);
    assert.deepEqual(usableIds(view, recoveredMs), ["a", "b"]);

    view.onChanges({ items: [serverItem("a")], deletedKeys: [] }, recoveredMs + 500);
    const expiryMs = recoveredMs + lapsedEntryGraceMs;
    assert.deepEqual(usableIds(view, expiryMs), ["a"], "b has not re-created its entry, so it is removed");
    assert.deepEqual(view.expire(expiryMs).map(({ name }) => name), ["b"]);
});

test("a single failed call is no outage: an entry that is deleted right after it is removed at once", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    assert.equal(view.onStoreContact(1_200), undefined);
    view.onChanges({ items: [], deletedKeys: ["servers/b"] }, 1_300);
    assert.deepEqual(usableIds(view, 1_300), ["a"]);
});

// Guards against sending requests for another 1.9 s to a server that left while only this host was partitioned.
test("an entry missing after a partition is removed at once if another gateway reached the store all the time", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    view.onStoreContact(9_000);
    view.onPeerStoreContact(60_000, 9_000);
    view.onFullRead([configurationItem(5), serverItem("a")], 9_000);
    assert.deepEqual(usableIds(view, 9_000), ["a"]);
});

test("a server kept with a lapsed entry is removed once another gateway reports that there was no store outage", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    view.onStoreContact(9_000);
    view.onFullRead([configurationItem(5), serverItem("a")], 9_000);
    assert.ok(view.hasLapsedServers(9_000));
    view.onPeerStoreContact(60_000, 9_005);
    assert.deepEqual(usableIds(view, 9_005), ["a"]);
    assert.ok(!view.hasLapsedServers(9_005));
});

// Guards against refusing servers that re-create their entries late: after an outage another gateway may have
// reconnected first, but the grace period must not start there.
test("after an outage the grace period starts at the reconnection of this gateway unless it was partitioned", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    view.onStoreContact(9_000);
    view.onPeerStoreContact(storeReconnectWindowMs, 9_000);
    view.onFullRead([configurationItem(5), serverItem("a")], 9_000);
    const expiryMs = 9_000 + lapsedEntryGraceMs;
    assert.deepEqual(usableIds(view, expiryMs - 1), ["a", "b"]);
    assert.deepEqual(usableIds(view, expiryMs), ["a"]);
});

// Guards against keeping servers that other gateways have already removed: this host was partitioned during an outage
// of the store and for longer than it.
test("after an outage and a longer partition the grace period starts at the reconnection of another gateway", () => {
    const view = createView();
    view.onStoreCallFailed(1_000);
    view.onStoreContact(9_000);
    view.onPeerStoreContact(storeReconnectWindowMs + 1, 9_000);
    view.onFullRead([configurationItem(5), serverItem("a")], 9_000);
    const expiryMs = 9_000 - storeReconnectWindowMs - 1 + lapsedEntryGraceMs;
    assert.deepEqual(usableIds(view, expiryMs - 1), ["a", "b"]);
    assert.deepEqual(usableIds(view, expiryMs), ["a"]);
});

// Guards against a gateway that makes others remove running servers by vouching for a period in which it did not reach
// the store.
test("a gateway does not vouch for a period in which it did not reach the store", () => {
    const view = createView();
    assert.equal(view.storeReachableForMs(500), 500);
    assert.equal(
        view.storeReachableForMs(storeOutageThresholdMs + 1),
        undefined,
        "no answer from the store for too long",
    );
    view.onStoreContact(5_000);
    assert.equal(view.storeReachableForMs(5_100), 100, "it may have missed an outage");
    view.onStoreCallFailed(5_200);
    assert.equal(view.storeReachableForMs(5_300), undefined, "its last call failed");
    view.onStoreContact(9_000);
    assert.equal(view.storeReachableForMs(9_000), 0);
    view.onProcessPaused();
    assert.equal(view.storeReachableForMs(9_000), undefined);
    view.onStoreContact(9_100);
    view.onPeerStoreContact(3_000, 9_100);
    assert.equal(view.storeReachableForMs(9_200), 3_100, "what another gateway vouches for counts as well");
});

test("a draining server is not kept after its entry is gone", () => {
    const view = createView();
    view.onChanges({ items: [serverItem("b", { state: "draining" })], deletedKeys: [] }, 1);
    view.onStoreCallFailed(1_000);
    view.onStoreContact(5_000);
    view.onFullRead([configurationItem(5), serverItem("a")], 5_000);
    assert.deepEqual(usableIds(view, 5_000), ["a"]);
});

test("an entry that becomes malformed removes its server and no other", () => {
    const view = createView();
    const fleetChanges = view.onChanges({
        items: [{ type: "ignored", key: "servers/a", reason: "no address" }],
        deletedKeys: [],
    }, 1);
    assert.deepEqual(usableIds(view, 1), ["b"]);
    assert.ok(fleetChanges.some(({ name, change }) => name === "servers/a" && change.includes("no address")));
});

test("a server that moved to another service is listed only there", () => {
    const view = createView();
    view.onChanges({ items: [serverItem("a", { service: "extracts" })], deletedKeys: [] }, 1);
    assert.deepEqual(usableIds(view, 1), ["b"]);
    assert.deepEqual(view.usableServers("extracts", 1).map(({ id }) => id), ["a"]);
});

test("a new start under a known id is detected as a restart", () => {
    const view = createView();
    const fleetChanges = view.onChanges({ items: [serverItem("a", { startedAtEpochMs: 2 })], deletedKeys: [] }, 1);
    assert.deepEqual(fleetChanges.map(({ change }) => change), ["restarted"]);
});
