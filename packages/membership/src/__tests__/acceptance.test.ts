import assert from "node:assert/strict";
import { test } from "node:test";
import { AcceptanceTracker, RosterReconciler } from "../index.js";
import { answer, gateway, roster, majorityWaitMs, survey, timings } from "./fleetBuilders.js";

function createTracker(members: readonly string[], previous?: readonly string[]): AcceptanceTracker {
    const tracker = new AcceptanceTracker({ revision: 2, rosterVersion: 0 }, timings);
    tracker.onSurvey(roster(1, members, previous), []);
    return tracker;
}

test("a change held by all is in force once each has said so twice", () => {
    const tracker = createTracker(["gw1", "gw2"]);
    tracker.onVersionReport(answer("gw1", 2, 10));
    tracker.onVersionReport(answer("gw2", 2, 10));
    assert.ok(!tracker.isInForce(12));
    tracker.onVersionReport(answer("gw1", 2, 12));
    tracker.onVersionReport(answer("gw2", 2, 12));
    assert.ok(tracker.isInForce(14));
});

// The operator is told that a zone is out, and a gateway that was started anew sends work there.
// gw1 took the change and ended; its successor learnt the old configuration from gw2 before gw2 took the change. First
// answers alone would show all, or a majority, holding the change, which was so at no time.
test("a gateway that was started anew isn't counted for what it held before", () => {
    const tracker = createTracker(["gw1", "gw2", "gw3"]);
    tracker.onVersionReport(answer("gw1", 2, 10));
    tracker.onVersionReport(answer("gw2", 2, 20));
    assert.ok(!tracker.isInForce(20 + 2 * majorityWaitMs), "gw1 hasn't said it again");
    tracker.onVersionReport(answer("gw1", 1, 30, { gateway: gateway("gw1", "2") }));
    tracker.onVersionReport(answer("gw2", 2, 30));
    assert.ok(!tracker.isInForce(30 + 2 * majorityWaitMs));
    tracker.onVersionReport(answer("gw1", 2, 40, { gateway: gateway("gw1", "2") }));
    tracker.onVersionReport(answer("gw2", 2, 41));
    tracker.onVersionReport(answer("gw1", 2, 50, { gateway: gateway("gw1", "2") }));
    assert.ok(!tracker.isInForce(41 + majorityWaitMs - 1));
    assert.ok(tracker.isInForce(42 + majorityWaitMs));
});

test("while the roster changes, a majority of the old and of the new is needed", () => {
    const tracker = createTracker(["gw3", "gw4", "gw5"], ["gw1", "gw2", "gw3"]);
    for (const startedAtMs of [10, 20]) {
        ["gw3", "gw4", "gw5"].forEach(name => tracker.onVersionReport(answer(name, 2, startedAtMs)));
    }
    assert.ok(!tracker.isInForce(10 * majorityWaitMs));
    [30, 40].forEach(startedAtMs => tracker.onVersionReport(answer("gw1", 2, startedAtMs)));
    [42].forEach(startedAtMs =>
        ["gw3", "gw4", "gw5"].forEach(name => tracker.onVersionReport(answer(name, 2, startedAtMs)))
    );
    assert.ok(tracker.isInForce(10 * majorityWaitMs));
});

test("nothing is in force before the registrations have been listed", () => {
    const tracker = new AcceptanceTracker({ revision: 2, rosterVersion: 0 }, timings);
    assert.ok(!tracker.isInForce(10 * majorityWaitMs));
});

const changing = roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2", "gw3"]);

function tellAll(keeper: RosterReconciler, names: readonly string[], startedAtMs: number, revision: number): void {
    for (const name of names) {
        keeper.onVersionReport(answer(name, revision, startedAtMs, { rosterVersion: 2 }));
    }
}

// An accepted change is lost to a gateway of the new roster, which goes on under the old configuration.
// The change was accepted by the old members alone; the new ones count alone only once they hold the head as well.
test("the new members count alone only when a majority of them holds the head", () => {
    const keeper = new RosterReconciler("gw1", timings);
    const present = survey(changing, ["gw1", "gw2", "gw3", "gw4"]);
    keeper.reconcile(present, 0);
    [10, 20].forEach(startedAtMs => tellAll(keeper, ["gw1", "gw2", "gw3", "gw4"], startedAtMs, 0));
    assert.equal(keeper.reconcile(present, 10 * majorityWaitMs), undefined);
    [30, 40].forEach(startedAtMs => tellAll(keeper, ["gw1", "gw2", "gw3"], startedAtMs, 1));
    assert.deepEqual(keeper.reconcile(present, 20 * majorityWaitMs)?.roster, {
        version: 3,
        members: changing.members,
    });
});

// A change is called in force while a gateway that has just left the roster sends work under the older one.
// It was confirmed as a member a moment before, and whoever accepted the change didn't ask it any more.
test("the old members count for as long as one of them may go on by what it heard", () => {
    const keeper = new RosterReconciler("gw1", timings);
    const present = survey(changing, ["gw1", "gw2", "gw3", "gw4"]);
    keeper.reconcile(present, 0);
    [10, 20].forEach(startedAtMs => tellAll(keeper, ["gw1", "gw2", "gw3", "gw4"], startedAtMs, 1));
    assert.equal(keeper.reconcile(present, majorityWaitMs), undefined);
    assert.notEqual(keeper.reconcile(present, majorityWaitMs + 11), undefined);
});

test("gateways join at once and leave when gone for long, all in one change", () => {
    const keeper = new RosterReconciler("gw1", timings);
    const settled = roster(3, ["gw1", "gw2", "gw3"]);
    assert.equal(keeper.reconcile(survey(settled, ["gw1", "gw2"]), 0), undefined);
    const swap = keeper.reconcile(survey(settled, ["gw1", "gw2", "gw4", "gw5"]), timings.removeAfterMs);
    assert.deepEqual(swap?.roster, roster(4, ["gw1", "gw2", "gw4", "gw5"], ["gw1", "gw2", "gw3"]));
    assert.equal(swap.expectedRevision, 3);
});

// A change is called in force while gateways that were counted as gone send work under the older one.
// The host list comes up short: it is empty, or doesn't show a new host yet.
test("the host list is believed only of hosts it has shown, and only if it shows one's own", () => {
    const settled = roster(3, ["gw1", "gw2", "gw3"]);
    const keeper = new RosterReconciler("gw1", timings);
    const listing = (hostNames: readonly string[]) => ({ ...survey(settled, ["gw1"]), hostNames });
    assert.equal(keeper.reconcile(listing(["gw1", "gw2"]), 0), undefined, "gw3 was never shown");
    assert.equal(keeper.reconcile(listing([]), 10), undefined, "an empty list");
    assert.deepEqual(keeper.reconcile(listing(["gw1"]), 20)?.roster.members.map(({ name }) => name), ["gw1", "gw3"]);
});

// The first fleet start of an operator: the quickest gateway makes a roster of itself, is started anew while the store
// is down, and nobody may serve until the store is back, since the one member can't ask a majority without itself.
test("the first roster waits for the gateways that start together", () => {
    const keeper = new RosterReconciler("gw1", timings);
    assert.equal(keeper.reconcile(survey(undefined, ["gw1"]), 0), undefined);
    const swap = keeper.reconcile(survey(undefined, ["gw1", "gw2", "gw3"]), timings.rosterUpdateStaggerMs);
    assert.deepEqual(swap, {
        expectedRevision: 0,
        roster: { version: 1, members: roster(1, ["gw1", "gw2", "gw3"]).members },
    });
});
