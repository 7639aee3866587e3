import assert from "node:assert/strict";
import { test } from "node:test";
import { AcceptanceTracker, RosterReconciler } from "../index.js";
import { createVersionReport, gateway, roster, majorityWaitMs, survey, timings } from "./fleetBuilders.js";

function createTracker(members: readonly string[], previous?: readonly string[]): AcceptanceTracker {
    const tracker = new AcceptanceTracker({ revision: 2, rosterVersion: 0 }, timings);
    tracker.onSurvey(roster(1, members, previous), []);
    return tracker;
}

test("a change isn't in force before each gateway has reported it twice", () => {
    const tracker = createTracker(["gw1", "gw2"]);
    tracker.onVersionReport(createVersionReport("gw1", 2, 10));
    tracker.onVersionReport(createVersionReport("gw2", 2, 10));
    assert.ok(!tracker.isInForce(12));
    tracker.onVersionReport(createVersionReport("gw1", 2, 12));
    tracker.onVersionReport(createVersionReport("gw2", 2, 12));
    assert.ok(tracker.isInForce(14));
});

// Guards against a restarted gateway that sends work to a zone after its evacuation is in force. gw1 adopts the change
// and ends; its successor gets the old configuration from gw2 before gw2 adopts the change. First responses alone would
// suggest that all gateways, or a majority, held the change, although they never did so at the same time.
test("a restarted gateway doesn't count as holding what its predecessor held", () => {
    const tracker = createTracker(["gw1", "gw2", "gw3"]);
    tracker.onVersionReport(createVersionReport("gw1", 2, 10));
    tracker.onVersionReport(createVersionReport("gw2", 2, 20));
    assert.ok(!tracker.isInForce(20 + 2 * majorityWaitMs), "gw1 hasn't reported it again");
    tracker.onVersionReport(createVersionReport("gw1", 1, 30, { gateway: gateway("gw1", "2") }));
    tracker.onVersionReport(createVersionReport("gw2", 2, 30));
    assert.ok(!tracker.isInForce(30 + 2 * majorityWaitMs));
    tracker.onVersionReport(createVersionReport("gw1", 2, 40, { gateway: gateway("gw1", "2") }));
    tracker.onVersionReport(createVersionReport("gw2", 2, 41));
    tracker.onVersionReport(createVersionReport("gw1", 2, 50, { gateway: gateway("gw1", "2") }));
    assert.ok(!tracker.isInForce(41 + majorityWaitMs - 1));
    assert.ok(tracker.isInForce(42 + majorityWaitMs));
});

test("while the roster changes, a majority of the new members alone doesn't put a change in force", () => {
    const tracker = createTracker(["gw3", "gw4", "gw5"], ["gw1", "gw2", "gw3"]);
    for (const startedAtMs of [10, 20]) {
        ["gw3", "gw4", "gw5"].forEach(name => tracker.onVersionReport(createVersionReport(name, 2, startedAtMs)));
    }
    assert.ok(!tracker.isInForce(10 * majorityWaitMs));
    [30, 40].forEach(startedAtMs => tracker.onVersionReport(createVersionReport("gw1", 2, startedAtMs)));
    [42].forEach(startedAtMs =>
        ["gw3", "gw4", "gw5"].forEach(name => tracker.onVersionReport(createVersionReport(name, 2, startedAtMs)))
    );
    assert.ok(tracker.isInForce(10 * majorityWaitMs));
});

test("no change is in force before the registrations have been listed", () => {
    const tracker = new AcceptanceTracker({ revision: 2, rosterVersion: 0 }, timings);
    assert.ok(!tracker.isInForce(10 * majorityWaitMs));
});

const changing = roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2", "gw3"]);

function reportAll(
    reconciler: RosterReconciler,
    names: readonly string[],
    startedAtMs: number,
    revision: number,
): void {
    for (const name of names) {
        reconciler.onVersionReport(createVersionReport(name, revision, startedAtMs, { rosterVersion: 2 }));
    }
}

// Guards against a gateway of the new roster that continues under an old configuration, since only the old members
// accepted the change. The old members may be dropped only once a majority of the new ones holds the head as well.
test("the old members aren't dropped before a majority of the new ones holds the head", () => {
    const reconciler = new RosterReconciler("gw1", timings);
    const current = survey(changing, ["gw1", "gw2", "gw3", "gw4"]);
    reconciler.reconcile(current, 0);
    [10, 20].forEach(startedAtMs => reportAll(reconciler, ["gw1", "gw2", "gw3", "gw4"], startedAtMs, 0));
    assert.equal(reconciler.reconcile(current, 10 * majorityWaitMs), undefined);
    [30, 40].forEach(startedAtMs => reportAll(reconciler, ["gw1", "gw2", "gw3"], startedAtMs, 1));
    assert.deepEqual(reconciler.reconcile(current, 20 * majorityWaitMs)?.roster, {
        version: 3,
        members: changing.members,
    });
});

// Guards against a change that is in force while a gateway that has just left the roster sends work under the older
// revision. The gateway was confirmed as a member shortly before, and isn't called for the change any more.
test("the old members aren't dropped while one of them may still accept work as a member", () => {
    const reconciler = new RosterReconciler("gw1", timings);
    const current = survey(changing, ["gw1", "gw2", "gw3", "gw4"]);
    reconciler.reconcile(current, 0);
    [10, 20].forEach(startedAtMs => reportAll(reconciler, ["gw1", "gw2", "gw3", "gw4"], startedAtMs, 1));
    assert.equal(reconciler.reconcile(current, majorityWaitMs), undefined);
    assert.notEqual(reconciler.reconcile(current, majorityWaitMs + 11), undefined);
});

test("new gateways join immediately and missing ones leave after the removal delay, in a single change", () => {
    const reconciler = new RosterReconciler("gw1", timings);
    const settled = roster(3, ["gw1", "gw2", "gw3"]);
    assert.equal(reconciler.reconcile(survey(settled, ["gw1", "gw2"]), 0), undefined);
    const swap = reconciler.reconcile(survey(settled, ["gw1", "gw2", "gw4", "gw5"]), timings.removeAfterMs);
    assert.deepEqual(swap?.roster, roster(4, ["gw1", "gw2", "gw4", "gw5"], ["gw1", "gw2", "gw3"]));
    assert.equal(swap.expectedRevision, 3);
});

// Guards against a change that is in force while gateways that count as gone send work under the older revision,
// because the host list is incomplete: it is empty, or doesn't have a new host yet.
test("a host list without the own host, or without a host that was never listed, shows no gateway as gone", () => {
    const settled = roster(3, ["gw1", "gw2", "gw3"]);
    const reconciler = new RosterReconciler("gw1", timings);
    const listing = (hostNames: readonly string[]) => ({ ...survey(settled, ["gw1"]), hostNames });
    assert.equal(reconciler.reconcile(listing(["gw1", "gw2"]), 0), undefined, "gw3 was never listed");
    assert.equal(reconciler.reconcile(listing([]), 10), undefined, "an empty list");
    assert.deepEqual(reconciler.reconcile(listing(["gw1"]), 20)?.roster.members.map(({ name }) => name), [
        "gw1",
        "gw3",
    ]);
});

// Guards against a fleet that can't serve while the store is down. If the fastest gateway wrote a first roster of only
// itself and then restarted, it would have to recover from a majority without itself, which doesn't exist.
test("the first roster doesn't leave out gateways that start at the same time", () => {
    const reconciler = new RosterReconciler("gw1", timings);
    assert.equal(reconciler.reconcile(survey(undefined, ["gw1"]), 0), undefined);
    const swap = reconciler.reconcile(survey(undefined, ["gw1", "gw2", "gw3"]), timings.rosterUpdateStaggerMs);
    assert.deepEqual(swap, {
        expectedRevision: 0,
        roster: { version: 1, members: roster(1, ["gw1", "gw2", "gw3"]).members },
    });
});
