import assert from "node:assert/strict";
import { test } from "node:test";
import { checkLeavingRespected, checkServerBackoff, type HistoryEvent, type HistoryLine } from "../index.js";

const server = "a";
const bounds = { inFlightGraceMs: 500, maxRequests: 2 };

function createHistory(...events: readonly (readonly [number, HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], sequence) => ({ sequence, atMs, process: "run", ...event }));
}

function createSent(requestId: string, gateway: string): HistoryEvent {
    return { type: "callerSent", requestId, service: "tables", idempotent: true, gateway, patienceMs: 1_000 };
}

function createTurnedAway(requestId: string, restMs?: number): HistoryEvent {
    return { type: "serverTurnedAway", requestId, server, availabilityZone: "north", cold: false, restMs };
}

test("back-off: reports more than two requests from the same gateway during a back-off", () => {
    const backoff: (readonly [number, HistoryEvent])[] = [[0, createSent("q", "g")], [
        1,
        createTurnedAway("q", 3_000),
    ]];
    const two = createHistory(...backoff, [600, createTurnedAway("q")], [700, createTurnedAway("q")]);
    assert.deepEqual(checkServerBackoff(two, bounds), []);
    const three = createHistory(
        ...backoff,
        [400, createTurnedAway("q")],
        [600, createTurnedAway("q")],
        [700, createTurnedAway("q")],
        [2_900, createTurnedAway("q")],
        [3_100, createTurnedAway("q")],
    );
    assert.equal(checkServerBackoff(three, bounds).length, 1);
});

test("back-off: ignores requests from a gateway that the server didn't ask to back off", () => {
    const history = createHistory(
        [0, createSent("q", "g")],
        [0, createSent("p", "h")],
        [1, createTurnedAway("q", 3_000)],
        ...[600, 700, 800].map(atMs => [atMs, createTurnedAway("p")] as const),
    );
    assert.deepEqual(checkServerBackoff(history, bounds), []);
});

test("leaving: reports a request sent after the grace period, but none sent within it", () => {
    const history = createHistory(
        [0, { type: "leavingPassedOn", gateway: "g", server }],
        [1_900, createSent("early", "g")],
        [2_100, createSent("late", "g")],
        [2_200, createTurnedAway("early")],
        [2_300, createTurnedAway("late")],
    );
    const [violation, ...more] = checkLeavingRespected(history, 2_000);
    assert.equal(more.length, 0);
    assert.deepEqual(violation?.lines, [0, 4]);
});
