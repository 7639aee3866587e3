import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkAtMostOnce,
    checkDidRunAccuracy,
    checkResponseIntegrity,
    type HistoryEvent,
    type HistoryLine,
} from "../index.js";

function createHistory(...events: readonly HistoryEvent[]): readonly HistoryLine[] {
    return events.map((event, sequence) => ({ sequence, atMs: sequence, process: "run", ...event }));
}

function createSent(requestId: string, idempotencyKey?: string, idempotent = false): HistoryEvent {
    return { type: "callerSent", requestId, service: "returns", idempotent, idempotencyKey, patienceMs: 1_000 };
}

function createStarted(requestId: string, idempotencyKey?: string): HistoryEvent {
    return {
        type: "serverStarted",
        requestId,
        idempotencyKey,
        server: "intake-1",
        availabilityZone: "a",
        incarnation: "1",
        cold: false,
        inFlight: 1,
        bears: 3,
    };
}

function createAnswered(
    requestId: string,
    more: Partial<Extract<HistoryEvent, { readonly type: "callerAnswered"; }>> = {},
): HistoryEvent {
    return {
        type: "callerAnswered",
        requestId,
        status: 200,
        didRun: "yes",
        whole: true,
        bodyRequestId: requestId,
        ...more,
    };
}

const good = createHistory(
    createSent("r1", "k1"),
    createStarted("r1", "k1"),
    createSent("r2", "k1"),
    createAnswered("r2", { status: 409, bodyRequestId: undefined }),
    createAnswered("r1"),
    createSent("read", undefined, true),
    createStarted("read"),
    createStarted("read"),
    createAnswered("read"),
    createSent("r3"),
    createAnswered("r3", { status: 503, didRun: "no", bodyRequestId: undefined }),
);

test("the request checkers accept a valid history", () => {
    assert.deepEqual(checkAtMostOnce(good), []);
    assert.deepEqual(checkDidRunAccuracy(good), []);
    assert.deepEqual(checkResponseIntegrity(good), []);
});

test("at most once: reports a second start of a request, and of an idempotency key under another request id", () => {
    const twice = createHistory(createSent("r1"), createStarted("r1"), createStarted("r1"));
    assert.deepEqual(checkAtMostOnce(twice).map(violation => violation.lines), [[1, 2]]);
    const twoRequests = createHistory(
        createSent("r1", "k"),
        createSent("r2", "k"),
        createStarted("r2", "k"),
        createStarted("r1", "k"),
    );
    assert.deepEqual(checkAtMostOnce(twoRequests).map(violation => violation.lines), [[2, 3]]);
});

test("didRun: reports `no` for a request that starts before or after the response, and `yes` without a start", () => {
    const refused = createAnswered("r1", { status: 503, didRun: "no", bodyRequestId: undefined });
    const before = createHistory(createSent("r1"), createStarted("r1"), refused);
    assert.deepEqual(checkDidRunAccuracy(before).map(violation => violation.lines), [[1, 2]]);
    const after = createHistory(createSent("r1"), refused, createStarted("r1"));
    assert.deepEqual(checkDidRunAccuracy(after).map(violation => violation.lines), [[2, 1]]);
    const never = createHistory(createSent("r1", "k"), createAnswered("r1"));
    assert.deepEqual(checkDidRunAccuracy(never).map(violation => violation.lines), [[1]]);
});

// Guards against half a body, or one of a failed run, that reaches a caller as a success.
test("response integrity: reports a success that its server broke off or let fail, and bytes that are no response", () => {
    const run = { server: "intake-1", number: 7 };
    const brokeOff = { type: "serverBrokeOff", requestId: "r1", server: "intake-1", run: 7 } as const;
    const bad = createHistory(createSent("r1"), createAnswered("r1", { run }), brokeOff);
    assert.deepEqual(checkResponseIntegrity(bad).map(violation => violation.lines), [[2, 1]]);
    const otherRun = createHistory(createSent("r1"), createAnswered("r1", { run: { ...run, number: 8 } }), brokeOff);
    assert.deepEqual(checkResponseIntegrity(otherRun), []);
    const failed = createHistory(createSent("r1"), createAnswered("r1", { run, status: 500 }), brokeOff);
    assert.deepEqual(checkResponseIntegrity(failed), []);
    const noResponse = createHistory(createSent("r1"), { type: "callerGotNoResponse", detail: "x" });
    assert.deepEqual(checkResponseIntegrity(noResponse).map(violation => violation.lines), [[1]]);
});

test("response integrity: reports a truncated, foreign, empty or second response", () => {
    for (
        const more of [
            { whole: false },
            { bodyRequestId: "r2" },
            { bodyRequestId: undefined },
        ]
    ) {
        const bad = createHistory(createSent("r1"), createAnswered("r1", more));
        assert.deepEqual(checkResponseIntegrity(bad).map(violation => violation.lines), [[1]], JSON.stringify(more));
    }
    const second = createHistory(createSent("r1"), createAnswered("r1"), createAnswered("r1"));
    assert.deepEqual(checkResponseIntegrity(second).map(violation => violation.lines), [[1, 2]]);
});
