import assert from "node:assert/strict";
import { test } from "node:test";
import {
    checkWorkspaceKeys,
    checkWorkspaceLimits,
    type HistoryEvent,
    type HistoryLine,
    type WrittenWorkspace,
} from "../index.js";

type Timed = readonly [atMs: number, event: HistoryEvent];

const settled = { applyMs: 2_500, isSettled: () => true };
const unsettled = { ...settled, isSettled: () => false };
const rates = { windowMs: 5_000, overshoot: 0.1, slack: 20 };

function createHistory(...events: readonly Timed[]): readonly HistoryLine[] {
    return events.map(([atMs, event], sequence) => ({ sequence, atMs, process: "run", ...event }));
}

function version(atMs: number, revision: number, workspaces: readonly WrittenWorkspace[]): readonly Timed[] {
    return [
        [atMs, { type: "configurationWritten", revision, changeId: "", workspaces }],
        [atMs + 10, { type: "configurationAccepted", revision, changeId: "" }],
    ];
}

function sent(atMs: number, requestId: string, keyId: string | undefined, open = false): Timed {
    return [atMs, { type: "callerSent", requestId, service: "tables", idempotent: true, patienceMs: 1, keyId, open }];
}

function ran(atMs: number, requestId: string, workspace: string | undefined, keyPassedOn = false): Timed {
    const place = { server: "a", availabilityZone: "north", incarnation: "a" };
    const load = { cold: false, inFlight: 1, bears: 3 };
    return [atMs, { type: "serverStarted", requestId, ...place, ...load, workspace, keyPassedOn }];
}

function answered(atMs: number, requestId: string, status: number): Timed {
    const more = { didRun: undefined, whole: true, bodyRequestId: undefined };
    return [atMs, { type: "callerAnswered", requestId, status, ...more }];
}

function findKeyFaults(bounds: typeof settled, ...events: readonly Timed[]): readonly string[] {
    return checkWorkspaceKeys(createHistory(...events), bounds).map(({ invariant }) => invariant);
}

const first = version(0, 1, [{ name: "north", keyIds: ["n"] }, { name: "south", keyIds: ["s"] }]);

test("keys: a request that runs for its key's holder, and on an open route for nobody, is sound", () => {
    const history = [...first, sent(100, "r", "n"), ran(110, "r", "north"), sent(120, "o", undefined, true)];
    assert.deepEqual(findKeyFaults(settled, ...history, ran(130, "o", undefined), answered(140, "o", 200)), []);
});

test("keys: a name that the caller made up, another workspace's and a missing one are found", () => {
    for (const told of ["forged", "south", undefined]) {
        assert.deepEqual(findKeyFaults(unsettled, ...first, sent(100, "r", "n"), ran(110, "r", told)), [
            "workspaceName",
        ]);
    }
    const open = [sent(100, "r", undefined, true), ran(110, "r", "forged")];
    assert.deepEqual(findKeyFaults(unsettled, ...first, ...open), ["workspaceName"]);
});

test("keys: a key that reaches a server is found, also where the server turned the request away", () => {
    assert.deepEqual(findKeyFaults(settled, ...first, sent(1, "r", "n"), ran(2, "r", "north", true)), ["keyPassedOn"]);
    const away: HistoryEvent = {
        type: "serverTurnedAway",
        requestId: "r",
        server: "a",
        availabilityZone: "north",
        cold: false,
        keyPassedOn: true,
    };
    assert.deepEqual(findKeyFaults(settled, ...first, sent(1, "r", "n"), [2, away]), ["keyPassedOn"]);
});

test("keys: a request that runs with an unknown key or without one is found, whatever hosts know", () => {
    for (const keyId of ["other", undefined]) {
        assert.deepEqual(findKeyFaults(unsettled, ...first, sent(1, "r", keyId), ran(2, "r", "north")), ["unknownKey"]);
    }
    // A version that is written later doesn't excuse it.
    const early = [sent(1, "r", "late"), ran(2, "r", "north"), ...version(3, 2, [{ name: "north", keyIds: ["late"] }])];
    assert.deepEqual(findKeyFaults(unsettled, ...first, ...early), ["unknownKey"]);
});

test("keys: a revoked key binds what was sent after the version must be in force, and what hosts could know", () => {
    const revoked = [...first, ...version(1_000, 2, [{ name: "south", keyIds: ["s"] }])];
    assert.deepEqual(findKeyFaults(settled, ...revoked, sent(3_500, "r", "n"), ran(3_600, "r", "north")), []);
    const late = [...revoked, sent(3_520, "r", "n"), ran(3_600, "r", "north")];
    assert.deepEqual(findKeyFaults(settled, ...late), ["revokedKey"]);
    assert.deepEqual(findKeyFaults(unsettled, ...late), []);
});

test("keys: a key that was moved runs for its new holder once the version must be in force", () => {
    const moved = [...first, ...version(1_000, 2, [{ name: "south", keyIds: ["n", "s"] }])];
    assert.deepEqual(findKeyFaults(settled, ...moved, sent(3_520, "r", "n"), ran(3_600, "r", "south")), []);
    assert.deepEqual(findKeyFaults(settled, ...moved, sent(3_520, "r", "n"), ran(3_600, "r", "north")), [
        "workspaceName",
    ]);
});

test("keys: a 401 is found where every version that may be in force has the key", () => {
    const added = [...first, ...version(1_000, 2, [{ name: "north", keyIds: ["n", "new"] }])];
    assert.deepEqual(findKeyFaults(settled, ...added, sent(3_500, "r", "new"), answered(3_600, "r", 401)), []);
    assert.deepEqual(findKeyFaults(settled, ...added, sent(3_520, "r", "new"), answered(3_600, "r", 401)), [
        "keyDenied",
    ]);
    assert.deepEqual(findKeyFaults(unsettled, ...added, sent(3_520, "r", "new"), answered(3_600, "r", 401)), []);
    assert.deepEqual(findKeyFaults(unsettled, ...added, sent(3_520, "r", "n"), answered(3_600, "r", 401)), [
        "keyDenied",
    ]);
});

test("keys: a 429 is found where no version that may be in force limits the workspace", () => {
    const refused = [sent(100, "r", "n"), answered(110, "r", 429)];
    assert.deepEqual(findKeyFaults(settled, ...first, ...refused), ["limitRefused"]);
    assert.deepEqual(findKeyFaults(settled, ...version(0, 1, limited(10)), ...refused), []);
});

/** Requests at even distances, each run 10 ms after it was sent. */
function load(fromMs: number, count: number, everyMs: number): readonly Timed[] {
    return Array.from({ length: count }, (_, i) => fromMs + i * everyMs).flatMap((atMs, i) => [
        sent(atMs, `r${fromMs}-${i}`, "n"),
        ran(atMs + 10, `r${fromMs}-${i}`, "north"),
    ]).sort(([a], [b]) => a - b);
}

function limited(perSecond: number): readonly WrittenWorkspace[] {
    return [{ name: "north", keyIds: ["n"], limit: { perSecond, burst: perSecond } }];
}

function countLimitFaults(bounds: typeof settled, ...events: readonly Timed[]): number {
    return checkWorkspaceLimits(createHistory(...events), { ...bounds, ...rates }).length;
}

test("limits: one request above (5 R + B) x 1.1 + 20 in 5 s is found, and one that runs later doesn't count", () => {
    const ten = version(0, 1, limited(10));
    assert.equal(countLimitFaults(settled, ...ten, ...load(100, 86, 50)), 0);
    assert.equal(countLimitFaults(unsettled, ...ten, ...load(100, 87, 50)), 1);
    const waits = load(100, 87, 50).map(([atMs, event]): Timed =>
        event.type === "serverStarted" && event.requestId === "r100-86" ? [6_000, event] : [atMs, event]
    );
    assert.equal(countLimitFaults(settled, ...ten, ...waits), 0);
    // A request that is sent to servers twice counts once.
    assert.equal(countLimitFaults(settled, ...ten, ...load(100, 86, 50), ran(4_500, "r100-0", "north")), 0);
});

test("limits: a lowered limit binds windows that begin once it is in force", () => {
    const lowered = [...version(0, 1, limited(10)), ...version(1_000, 2, limited(1))];
    assert.equal(countLimitFaults(settled, ...lowered, ...load(3_400, 60, 1)), 0);
    assert.equal(countLimitFaults(settled, ...lowered, ...load(3_600, 60, 1)), 1);
    assert.equal(countLimitFaults(unsettled, ...lowered, ...load(3_600, 60, 1)), 0);
});
