import assert from "node:assert/strict";
import { test } from "node:test";
import { checkRollouts, type HistoryEvent, type HistoryLine } from "../index.js";

function record(events: readonly (readonly [atMs: number, event: HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], i) => ({ ...event, atMs, sequence: i + 1, process: "p" }));
}

function started(server: string): HistoryEvent {
    const more = { availabilityZone: "north", incarnation: server, cold: false, inFlight: 1, bears: 3 };
    return { type: "serverStarted", requestId: "r", server, ...more };
}

function ordered(isBad: boolean): HistoryEvent {
    return { type: "rolloutOrdered", service: "tables", version: "v2", servers: ["new"], isBad };
}

function ended(stage: "completed" | "rolledBack"): HistoryEvent {
    return { type: "rolloutEnded", service: "tables", version: "v2", stage };
}

function check(events: readonly (readonly [atMs: number, event: HistoryEvent])[]): readonly string[] {
    const serviceOf = new Map([["old", "tables"], ["new", "tables"], ["other", "returns"]]);
    const bounds = { serviceOf, exposureShare: 0.1, exposureSlack: 1, rollbackMs: 1_000 };
    return checkRollouts(record(events), bounds).map(({ invariant }) => invariant);
}

test("reports a completed rollout of a bad version, but not of a good one", () => {
    assert.deepEqual(check([[0, ordered(true)], [100, ended("completed")]]), ["rollout"]);
    assert.deepEqual(check([[0, ordered(false)], [100, ended("completed")], [200, started("new")]]), []);
});

test("reports too many requests to a bad version, counting only its service's requests since the order", () => {
    const few = [[10, started("new")], [20, started("new")], [30, started("old")]] as const;
    assert.deepEqual(check([[0, ordered(true)], ...few]), ["exposure"]);
    assert.deepEqual(check([[15, ordered(true)], [20, started("new")], [30, started("other")]]), []);
    assert.deepEqual(check([[0, ordered(false)], ...few]), []);
});

test("reports a request to a version that was rolled back after the grace period is over", () => {
    const end = [[0, ordered(false)], [100, ended("rolledBack")]] as const;
    assert.deepEqual(check([...end, [900, started("new")]]), []);
    assert.deepEqual(check([...end, [1_200, started("new")]]), ["rollback"]);
});
