import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkColdStart,
    checkProbeBudget,
    checkServerLeaving,
    checkServerLimit,
    type ColdStartBounds,
    type HistoryEvent,
    type HistoryLine,
} from "../index.js";

const server = "catalog/a1";
const bounds: ColdStartBounds = { contactLimitMs: 100, inFlightInWindow: 6 };

function createHistory(...events: readonly (readonly [number, HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], sequence) => ({ sequence, atMs, process: "run", ...event }));
}

function createStarted(inFlight: number, cold = true): HistoryEvent {
    return {
        type: "serverStarted",
        requestId: "r",
        server,
        availabilityZone: "a",
        incarnation: "1",
        cold,
        inFlight,
        bears: cold ? 1 : 3,
    };
}

const turnedCold: HistoryEvent = { type: "serverTurnedCold", server };
const coldReported: HistoryEvent = { type: "coldSignHeard", gateway: "g1", server };
const majorityRound = (startedAtMs: number): HistoryEvent => ({
    type: "majorityRound",
    gateway: "g1",
    startedAtMs,
});

test("cold start: allows the higher limit within the propagation window and the server's own limit afterwards", () => {
    const history = createHistory(
        [0, createStarted(3, false)],
        [10, turnedCold],
        [20, createStarted(6)],
        [30, coldReported],
        [50, majorityRound(40)],
        [150, createStarted(6)],
        [151, createStarted(1)],
    );
    assert.deepEqual(checkColdStart(history, bounds), []);
});

test("cold start: reports too many requests after the window, within it, and on a server that was never warm", () => {
    const afterwards = createHistory([10, turnedCold], [30, coldReported], [50, majorityRound(40)], [
        151,
        createStarted(2),
    ]);
    assert.equal(checkColdStart(afterwards, bounds).length, 1);
    const within = createHistory([10, turnedCold], [20, createStarted(7)]);
    assert.equal(checkColdStart(within, bounds).length, 1);
    const never = createHistory([20, createStarted(2)]);
    assert.equal(checkColdStart(never, bounds).length, 1);
});

test("cold start: a majority round that began before the gateway learned of the change doesn't end the window", () => {
    const history = createHistory([10, turnedCold], [30, coldReported], [50, majorityRound(29)], [
        300,
        createStarted(6),
    ]);
    assert.deepEqual(checkColdStart(history, bounds), []);
});

test("leaving: reports a new request once the change has propagated", () => {
    const leaving = { type: "serverLeaving", server } as const;
    const leavingReceived = { type: "leavingHeard", gateway: "g1", server } as const;
    const bad = createHistory([0, leaving], [5, leavingReceived], [20, majorityRound(10)], [
        121,
        createStarted(1, false),
    ]);
    assert.equal(checkServerLeaving(bad, 100).length, 1);
    const good = createHistory([0, leaving], [5, leavingReceived], [20, majorityRound(10)], [
        120,
        createStarted(1, false),
    ]);
    assert.deepEqual(checkServerLeaving(good, 100), []);
});

test("probe budget: reports one probe too many in any window and accepts as many as the budget allows", () => {
    const probed = { type: "serverProbed", server, gateway: "g1" } as const;
    const budget = { probesPerSecond: 2, seats: 2 };
    const good = createHistory([0, probed], [999, probed], [1_000, probed], [1_999, probed]);
    assert.deepEqual(checkProbeBudget(good, budget), []);
    const bad = createHistory([0, probed], [500, probed], [999, probed]);
    assert.deepEqual(checkProbeBudget(bad, budget).map(violation => violation.lines), [[0, 1, 2]]);
});

test("server limit: reports requests above the limit, summed over gateways that have received it and no others", () => {
    const limitBounds = { factor: 1.5, slack: 1, windowMs: 1_000, settleMs: 100, gatewayGraceMs: 50 };
    const createRequest = (atMs: number, requestId: string, gateway: string): (readonly [number, HistoryEvent])[] => [
        [atMs, { type: "callerSent", requestId, service: "catalog", idempotent: true, patienceMs: 1, gateway }],
        [atMs, { ...createStarted(1, false), requestId } as HistoryEvent],
    ];
    const advertised: (readonly [number, HistoryEvent])[] = [
        [0, { type: "serverLimited", server, perSecond: 1 }],
        [10, { type: "limitPassedOn", gateway: "g1", server }],
        [20, { type: "limitPassedOn", gateway: "g2", server }],
    ];
    const allowed = [
        ...advertised,
        ...createRequest(110, "a", "g1"),
        ...createRequest(120, "b", "g2"),
        ...createRequest(130, "c", "g3"),
        ...createRequest(140, "d", "g3"),
    ];
    assert.deepEqual(checkServerLimit(createHistory(...allowed), limitBounds), []);
    assert.equal(checkServerLimit(createHistory(...allowed, ...createRequest(150, "e", "g1")), limitBounds).length, 1);
    assert.deepEqual(checkServerLimit(createHistory(...allowed, ...createRequest(1_121, "e", "g1")), limitBounds), []);
    const ended: readonly [number, HistoryEvent] = [145, { type: "serverLimited", server, perSecond: undefined }];
    assert.deepEqual(
        checkServerLimit(createHistory(...allowed, ended, ...createRequest(150, "e", "g1")), limitBounds),
        [],
    );
});
