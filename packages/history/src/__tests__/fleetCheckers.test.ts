import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkColdRate,
    checkDrained,
    checkQueryOfDeath,
    checkRepeatBudget,
    type HistoryEvent,
    type HistoryLine,
} from "../index.js";

/** @returns a history of events with their times in milliseconds */
function record(...events: readonly (readonly [atMs: number, event: HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], i) => ({ ...event, atMs, sequence: i + 1, process: "p" }));
}

function started(requestId: string, cold = false): HistoryEvent {
    return {
        type: "serverStarted",
        requestId,
        server: "s1",
        availabilityZone: "north",
        incarnation: "s1",
        cold,
        inFlight: 1,
        bears: 3,
    };
}

function sent(requestId: string): HistoryEvent {
    return { type: "callerSent", requestId, service: "tables", idempotent: true, patienceMs: 1_000 };
}

function turnedAway(requestId: string, cold = false): HistoryEvent {
    return { type: "serverTurnedAway", requestId, server: "s1", availabilityZone: "north", cold };
}

test("cold rate: reports one request above the rate in any second, counting rejected requests", () => {
    const allowed = record([0, started("a", true)], [900, turnedAway("b", true)], [1_000, started("c", true)]);
    assert.deepEqual(checkColdRate(allowed, 2), []);
    const oneMore = record([0, started("a", true)], [900, turnedAway("b", true)], [999, started("c", true)]);
    assert.equal(checkColdRate(oneMore, 2).length, 1);
    assert.deepEqual(checkColdRate(record([0, started("a")], [1, started("b")], [2, started("c")]), 2), []);
});

test("drain: reports requests that reach a draining server after the grace period, but none within it", () => {
    const drained: HistoryEvent = { type: "drainAccepted", server: "s1" };
    assert.deepEqual(checkDrained(record([0, started("a")], [10, drained], [2_010, started("b")]), 2_000), []);
    assert.equal(checkDrained(record([10, drained], [2_011, started("b")]), 2_000).length, 1);
    assert.equal(checkDrained(record([10, drained], [2_011, turnedAway("b")]), 2_000).length, 1);
});

test("repeat budget: reports one repeat above ratio and slack in a window, counting rejected arrivals", () => {
    const bounds = { ratio: 0.5, slack: 1, windowMs: 1_000 };
    const events: (readonly [number, HistoryEvent])[] = [
        [0, sent("a")],
        [1, sent("b")],
        [10, turnedAway("a")],
        [20, turnedAway("a")],
        [30, started("a")],
    ];
    assert.deepEqual(checkRepeatBudget(record(...events), bounds), []);
    assert.equal(checkRepeatBudget(record(...events, [40, started("a")]), bounds).length, 1);
    // Repeats of an earlier window no longer count.
    assert.deepEqual(checkRepeatBudget(record(...events, [1_100, started("a")]), bounds), []);
});

test("query of death: after three crashes and the settling time, reports a fourth arrival at servers", () => {
    const bounds = { crashes: 3, settleMs: 1_000, retries: 3 };
    const createRequest = (atMs: number, requestId: string, crashes: boolean): (readonly [number, HistoryEvent])[] => [
        [atMs, { ...sent(requestId), contentId: "deadly" } as HistoryEvent],
        [atMs, started(requestId)],
        ...(crashes ? [[atMs + 10, { type: "serverCrashed", requestId, server: "s1" }] as const] : []),
    ];
    const untilBlocked = [
        ...createRequest(0, "a", true),
        ...createRequest(20, "b", true),
        ...createRequest(40, "c", true),
        ...createRequest(1_050, "d", true),
    ];
    const allowed = [
        ...untilBlocked,
        ...createRequest(2_000, "e", true),
        ...createRequest(3_000, "f", true),
        ...createRequest(4_000, "g", false),
    ];
    assert.deepEqual(checkQueryOfDeath(record(...allowed), bounds), []);
    assert.equal(checkQueryOfDeath(record(...allowed, ...createRequest(9_000, "h", false)), bounds).length, 1);
    const others: (readonly [number, HistoryEvent])[] = [[9_000, sent("i")], [9_000, started("i")]];
    assert.deepEqual(checkQueryOfDeath(record(...allowed, ...others), bounds), []);
});
