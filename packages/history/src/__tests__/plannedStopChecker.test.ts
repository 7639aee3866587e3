import assert from "node:assert/strict";
import { test } from "node:test";
import { checkPlannedStops, type HistoryEvent, type HistoryLine } from "../index.js";

const bounds = {
    graceMs: 6_000,
    lossSlackMs: 200,
    afterGraceMs: 1_000,
    excusableSentMs: 3_000,
    routeTimeoutMs: 5_000,
};

type TimedEvent = readonly [number, HistoryEvent];

const stopping: HistoryEvent = { type: "gatewayStopping", gateway: "g1" };
const cutOff = { type: "callerCutOff", requestId: "r" } as const;
const started: HistoryEvent = {
    type: "serverStarted",
    requestId: "r",
    server: "s1",
    availabilityZone: "a",
    incarnation: "s1",
    cold: false,
    inFlight: 1,
    bears: 3,
};
const finished: HistoryEvent = {
    type: "serverEnded",
    requestId: "r",
    server: "s1",
    incarnation: "s1",
    completed: true,
};
const spoilt: HistoryEvent = { type: "serverSpoilt", requestId: "r", server: "s1" };

function sent(behind = false, patienceMs = 5_000): HistoryEvent {
    return { type: "callerSent", requestId: "r", service: "s", idempotent: true, gateway: "g1", patienceMs, behind };
}

function answered(status: number): HistoryEvent {
    return {
        type: "callerAnswered",
        requestId: "r",
        status,
        didRun: undefined,
        whole: true,
        bodyRequestId: status === 200 ? "r" : undefined,
    };
}

function check(...events: readonly TimedEvent[]): readonly string[] {
    const sorted = events.toSorted(([a], [b]) => a - b);
    const history = sorted.map(([atMs, event], sequence): HistoryLine => ({ sequence, atMs, process: "p", ...event }));
    return checkPlannedStops(history, bounds).map(({ detail }) => detail);
}

test("planned stop: reports a connection that ends without a complete response to a request at a server", () => {
    assert.equal(check([0, sent()], [10, started], [50, stopping], [100, cutOff]).length, 1);
    assert.equal(check([0, sent(true)], [10, started], [50, stopping], [100, cutOff]).length, 1);
    assert.equal(check([0, sent()], [10, started], [50, stopping], [60, finished], [100, cutOff]).length, 1);
    assert.deepEqual(check([0, sent()], [10, started], [50, stopping], [60, finished], [100, answered(200)]), []);
});

test("planned stop: reports a gateway's own failure in place of the response of a server at work", () => {
    assert.equal(check([0, stopping], [100, sent()], [110, started], [900, answered(504)]).length, 1);
    assert.deepEqual(check([0, stopping], [100, sent()], [900, answered(503)]), []);
});

test("planned stop: excuses work in the last sixth of the grace period on requests sent within three seconds", () => {
    const inLastSixth = (sentAtMs: number, endMs: number): readonly string[] =>
        check([0, stopping], [sentAtMs, sent()], [sentAtMs + 10, started], [endMs, answered(504)]);
    assert.deepEqual(inLastSixth(3_000, 5_001), []);
    assert.equal(inLastSixth(3_001, 5_001).length, 1);
    assert.equal(inLastSixth(3_000, 4_999).length, 1);
    const [late, early] = [5_100, 4_900].map(finishedAtMs =>
        check([0, stopping], [2_000, sent()], [2_010, started], [finishedAtMs, finished], [5_300, answered(504)]).length
    );
    assert.deepEqual([late, early], [0, 1]);
    // A server that had finished makes the response due.
    assert.equal(check([0, stopping], [2_000, sent()], [2_010, started], [2_500, finished], [5_500, cutOff]).length, 1);
});

test("planned stop: reports a request that was read and neither passed on nor answered at once", () => {
    assert.equal(check([0, stopping], [100, sent()], [301, cutOff]).length, 1);
    assert.deepEqual(check([0, stopping], [100, sent()], [300, cutOff]), []);
    assert.deepEqual(check([0, stopping], [100, sent(true)], [900, cutOff]), []);
    assert.deepEqual(check([0, stopping], [100, sent()], [900, { ...cutOff, reset: true }]), []);
    assert.equal(check([0, stopping], [100, sent()], [110, started], [900, { ...cutOff, reset: true }]).length, 1);
});

test("planned stop: excuses servers' own faults, expired requests, and losses long after the stop", () => {
    assert.deepEqual(check([0, stopping], [0, sent()], [10, started], [20, spoilt], [100, cutOff]), []);
    assert.deepEqual(check([0, stopping], [10, sent(false, 800)], [20, started], [810, answered(504)]), []);
    assert.deepEqual(check([0, stopping], [7_500, sent()], [7_510, started], [7_600, cutOff]), []);
    const exited: HistoryEvent = { type: "serverExited", server: "s1" };
    assert.deepEqual(check([0, stopping], [0, sent()], [10, started], [20, exited], [100, cutOff]), []);
});
