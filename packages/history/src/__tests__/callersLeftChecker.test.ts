import assert from "node:assert/strict";
import { test } from "node:test";
import { checkCallersLeft } from "../callersLeftChecker.js";
import { type HistoryEvent, type HistoryLine } from "../events.js";

const bounds = { settleMs: 500, isCalm: (): boolean => true };
const server = {
    server: "a",
    availabilityZone: "north",
    incarnation: "a",
    cold: false,
    inFlight: 1,
    bears: 3,
} as const;

function record(...events: readonly (readonly [number, HistoryEvent])[]): readonly HistoryLine[] {
    return events.map(([atMs, event], sequence) => ({ ...event, atMs, sequence, process: "p" }));
}

function leave(idempotent: boolean): readonly (readonly [number, HistoryEvent])[] {
    return [
        [0, { type: "callerSent", requestId: "r", service: "tables", idempotent, patienceMs: 5_000 }],
        [200, { type: "callerLeft", requestId: "r" }],
    ];
}

test("a request that reaches a server long after its caller has left is found", () => {
    const started = { type: "serverStarted", requestId: "r", ...server } as const;
    assert.equal(checkCallersLeft(record(...leave(false), [701, started]), bounds).length, 1);
    assert.equal(checkCallersLeft(record(...leave(false), [700, started]), bounds).length, 0);
});

test("an idempotent request that is completed long after its caller has left is found", () => {
    const ended = { type: "serverEnded", requestId: "r", server: "a", incarnation: "a" } as const;
    const check = (idempotent: boolean, completed: boolean): number =>
        checkCallersLeft(record(...leave(idempotent), [900, { ...ended, completed }]), bounds).length;
    assert.deepEqual([check(true, true), check(true, false), check(false, true)], [1, 0, 0]);
    const excused = { ...bounds, isCalm: () => false };
    assert.equal(checkCallersLeft(record(...leave(true), [900, { ...ended, completed: true }]), excused).length, 0);
});
