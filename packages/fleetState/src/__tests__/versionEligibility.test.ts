import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetView, type RolloutOrder, type RolloutStage, type RolloutStatus, type StateItem } from "../index.js";
import { serverItem } from "./builders.js";

const order = (version: string): StateItem => ({
    type: "rolloutOrder",
    key: "orders/tables",
    order: { service: "tables", version, allowedMs: 10_000 } satisfies RolloutOrder,
});

const status = (version: string, stage: RolloutStage, rejectedVersions: readonly string[] = []): StateItem => ({
    type: "rolloutStatus",
    key: "statuses/tables",
    status: { service: "tables", version, stage, startedAtEpochMs: 0, rejectedVersions } satisfies RolloutStatus,
    revision: 7,
});

const servers = [
    serverItem("plain"),
    serverItem("one", { version: "v1" }),
    serverItem("two", { version: "v2" }),
    serverItem("three", { version: "v3" }),
];

function createView(...items: readonly StateItem[]): FleetView {
    const view = new FleetView();
    view.onFullRead([...servers, ...items], 0);
    return view;
}

function usable(view: FleetView): string {
    return view.usableServers("tables", 0).map(({ id }) => id).sort().join();
}

function onTrial(view: FleetView): string {
    return view.trialServers("tables", 0).map(({ id }) => id).sort().join();
}

test("without a rollout servers of all versions are used", () => {
    assert.equal(usable(createView()), "one,plain,three,two");
    assert.equal(onTrial(createView()), "");
});

test("a version is on trial from its order on and gets all requests once it is shifted", () => {
    for (
        const view of [
            createView(order("v2")),
            createView(order("v2"), status("v2", "trial")),
            createView(order("v2"), status("v2", "widened")),
        ]
    ) {
        assert.equal(usable(view), "one,plain,three");
        assert.equal(onTrial(view), "two");
    }
    const view = createView(order("v2"), status("v2", "shifted"));
    for (const stage of ["shifted", "completed"] as const) {
        view.onChanges({ items: [status("v2", stage)], deletedKeys: [] }, 0);
        assert.equal(usable(view), "two");
        assert.equal(view.isUsable("one", 0), false);
    }
});

// Guards against refusing callers although servers of the old version, which run until the end of the rollout, could
// serve them.
test("the old version serves requests while no server of the new version is available", () => {
    const view = createView(order("v2"), status("v2", "shifted"));
    view.onChanges({ items: [], deletedKeys: ["servers/two"] }, 0);
    assert.equal(usable(view), "one,plain,three");
    assert.equal(view.isUsable("one", 0), true);
});

// Guards against sending requests to a version that was rolled back, whatever is ordered afterwards.
test("a rejected version stays blocked", () => {
    for (
        const view of [
            createView(order("v2"), status("v2", "rolledBack", ["v2"])),
            createView(status("v2", "rolledBack", ["v2"])),
            createView(order("v3"), status("v3", "trial", ["v2"])),
            createView(order("v2"), status("v3", "completed", ["v2"])),
        ]
    ) {
        assert.equal(view.isUsable("two", 0), false);
        assert.ok(!usable(view).includes("two"));
        assert.ok(!onTrial(view).includes("two"));
    }
});

test("a version whose order is withdrawn or replaced before its completion gets no more requests", () => {
    assert.equal(usable(createView(status("v2", "widened"))), "one,plain,three");
    assert.equal(onTrial(createView(status("v2", "widened"))), "");
    const replaced = createView(order("v3"), status("v2", "shifted"));
    assert.equal(usable(replaced), "one,plain");
    assert.equal(onTrial(replaced), "three");
});

test("a completed version stays in use after its order is deleted", () => {
    const view = createView(order("v2"), status("v2", "shifted"));
    view.onChanges({ items: [status("v2", "completed")], deletedKeys: [] }, 0);
    view.onChanges({ items: [], deletedKeys: ["orders/tables"] }, 0);
    assert.equal(usable(view), "two");
});

// Guards against a server that stays idle forever because it joins after the rollout with another version.
test("servers that join after the completion of a rollout are used", () => {
    const view = createView(order("v2"), status("v2", "shifted"));
    view.onChanges({ items: [status("v2", "completed")], deletedKeys: [] }, 0);
    view.onChanges({ items: [serverItem("late", { version: "v1" })], deletedKeys: [] }, 0);
    assert.equal(usable(view), "late,two");
});
