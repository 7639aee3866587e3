import assert from "node:assert/strict";
import { test } from "node:test";
import {
    FleetView,
    type RegisteredServer,
    revisionOf,
    type RolloutStage,
    type StateItem,
    StoreMirror,
    termOf,
    toPosition,
} from "../index.js";

function serverItem(state: RegisteredServer["state"], sequence: number, id = "s1"): StateItem {
    const server: RegisteredServer = {
        id,
        service: "tables",
        address: { host: "10.0.0.1", port: 1 },
        availabilityZone: "north",
        slots: 3,
        state,
        coldRemainingMs: 0,
        startedAtEpochMs: 1,
        sequence,
    };
    return { type: "server", key: `servers/${id}`, server };
}

function zoneOut(revision: number): StateItem {
    return { type: "zoneOut", key: "out/north", availabilityZone: "north", revision };
}

function isOut(view: FleetView, nowMs: number): boolean {
    return view.readyServers("tables", nowMs).length === 0;
}

test("a position of a later term compares as later", () => {
    const before = toPosition(1, 45) ?? 0;
    const after = toPosition(2, 42) ?? 0;
    assert.ok(after > before);
    assert.deepEqual([termOf(after), revisionOf(after)], [2, 42]);
    for (const [term, revision] of [[-1, 0], [0.5, 0], [5_000, 0], [0, -1], [0, 2 ** 40]] as const) {
        assert.equal(toPosition(term, revision), undefined);
    }
});

// Guards against a relay that goes on serving changes after a position from before a restore of the store.
test("positions from before a restore are unknown after it", () => {
    const mirror = new StoreMirror();
    const before = toPosition(1, 45) ?? 0;
    mirror.onFullRead(before, [{ key: "a", value: "1", modifiedRevision: before }]);
    const after = toPosition(2, 42) ?? 0;
    mirror.onFullRead(after, [{ key: "a", value: "0", modifiedRevision: after }]);
    assert.equal(mirror.changesSince(before), undefined);
    assert.deepEqual(mirror.changesSince(after)?.changed, []);
});

// Guards against servers that are used again because the backup is older than their leaving or their end.
test("newer server states from before a restore take precedence over the backup", () => {
    const view = new FleetView();
    view.onFullRead([serverItem("ready", 5), serverItem("ready", 5, "s2")], 0, 1);
    view.onChanges({ items: [serverItem("draining", 9)], deletedKeys: ["servers/s2"] }, 1_000);
    view.onFullRead([serverItem("ready", 5), serverItem("ready", 5, "s2")], 2_000, 2);
    assert.equal(view.isUsable("s1", 2_000), false);
    assert.equal(view.isUsable("s2", 2_000), false);
    // A second full read in the same term still has the entries of the backup.
    view.onFullRead([serverItem("ready", 5), serverItem("ready", 5, "s2")], 3_000, 2);
    assert.equal(view.isUsable("s1", 3_000), false);
    assert.equal(view.isUsable("s2", 3_000), false);
    view.onChanges({ items: [serverItem("ready", 6, "s2")], deletedKeys: [] }, 4_000);
    assert.equal(view.isUsable("s2", 4_000), true, "it has written since, so it had not ended");
});

test("a draining server without sequence numbers keeps draining after a restore", () => {
    const view = new FleetView();
    view.onFullRead([serverItem("draining", 5)], 0, 1);
    view.onFullRead([serverItem("ready", 5)], 1_000, 2);
    assert.equal(view.isUsable("s1", 1_000), false);
});

// Guards against refusing the requests of a service because the entries of its servers are newer than the backup.
test("servers that the backup lacks are kept until they had time to re-create their entries, and no longer", () => {
    const view = new FleetView();
    view.onFullRead([serverItem("ready", 5)], 0, 1);
    view.onFullRead([], 1_000, 2);
    assert.equal(view.isUsable("s1", 2_800), true);
    view.expire(2_900);
    assert.equal(view.isUsable("s1", 2_900), false);
});

// Guards against an evacuation that ends because the backup lacks it, and against one that never ends.
test("an evacuation that the backup lacks stays in effect until it is written or withdrawn, up to ten seconds", () => {
    const view = new FleetView();
    view.onFullRead([serverItem("ready", 5), zoneOut(40)], 0, 1);
    view.onFullRead([serverItem("ready", 5)], 1_000, 2);
    assert.equal(view.countUnconfirmedKeys(), 1);
    view.onFullRead([serverItem("ready", 5)], 2_000, 2);
    view.expire(10_900);
    assert.equal(isOut(view, 10_900), true);
    view.expire(11_000);
    assert.equal(isOut(view, 11_000), false);
});

// Guards against evacuating a zone again because the backup is older than the withdrawal of its evacuation.
test("an evacuation withdrawn before a restore is suppressed, and one that is written again takes effect", () => {
    const create = (): FleetView => {
        const view = new FleetView();
        view.onFullRead([serverItem("ready", 5), zoneOut(40)], 0, 1);
        view.onChanges({ items: [], deletedKeys: ["out/north"] }, 500);
        view.onFullRead([serverItem("ready", 5), zoneOut(40)], 1_000, 2);
        return view;
    };
    const confirmed = create();
    assert.equal(isOut(confirmed, 1_000), false);
    confirmed.expire(5_000);
    assert.equal(isOut(confirmed, 5_000), true, "it was not withdrawn again");
    const written = create();
    written.onChanges({ items: [zoneOut(43)], deletedKeys: [] }, 1_500);
    assert.equal(isOut(written, 1_500), true);
    const withdrawn = create();
    withdrawn.onChanges({ items: [], deletedKeys: ["out/north"] }, 1_500);
    withdrawn.expire(5_000);
    assert.equal(isOut(withdrawn, 5_000), false);
});

// Guards against a version that gets requests again because the backup is older than its rollback.
test("a final rollout stage holds although the backup lacks it or has an earlier stage", () => {
    const status = (stage: RolloutStage, revision: number): StateItem => ({
        type: "rolloutStatus",
        key: "statuses/tables",
        status: { service: "tables", version: "v2", stage, startedAtEpochMs: 7, rejectedVersions: [] },
        revision,
    });
    const view = new FleetView();
    view.onFullRead([status("trial", 40)], 0, 1);
    view.onChanges({ items: [status("rolledBack", 45)], deletedKeys: [] }, 500);
    view.onFullRead([status("trial", 40)], 1_000, 2);
    assert.equal(view.rolloutOf("tables")?.status?.stage, "rolledBack");
    view.onFullRead([], 2_000, 3);
    assert.equal(view.rolloutOf("tables")?.status?.stage, "rolledBack");
});

// Guards against reassigning relays and rate limit shares because registrations are newer than the backup.
test("gateways whose registrations the backup lacks stay members and do not count as registered", () => {
    const view = new FleetView();
    const registration = { availabilityZone: "north", peerAddress: { host: "10.0.0.2", port: 2 } };
    const gateway: StateItem = { type: "gateway", key: "gateways/g1", name: "g1", leaseId: "7", registration };
    view.onFullRead([gateway], 0, 1);
    view.onFullRead([], 1_000, 2);
    assert.equal(view.registeredGateways().length, 1);
    assert.equal(view.isRegistered("g1"), false);
    assert.equal(view.registrationLease("g1"), undefined);
    view.expire(11_000);
    assert.equal(view.registeredGateways().length, 0);
});
