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

const synced = { applyMs: 2_500, isSettled: () => true };
const outOfSync = { ...synced, isSettled: () => false };
const tolerance = { windowMs: 5_000, overshoot: 0.1, slack: 20 };

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

function findKeyFaults(bounds: typeof synced, ...events: readonly Timed[]): readonly string[] {
    return checkWorkspaceKeys(createHistory(...events), bounds).map(({ invariant }) => invariant);
}

const first = version(0, 1, [{ name: "north", keyIds: ["n"] }, { name: "south", keyIds: ["s"] }]);

test("keys: accepts a request that runs for its key's workspace, and one without a key on an open route", () => {
    const history = [...first, sent(100, "r", "n"), ran(110, "r", "north"), sent(120, "o", undefined, true)];
    assert.deepEqual(findKeyFaults(synced, ...history, ran(130, "o", undefined), answered(140, "o", 200)), []);
});

test("keys: reports a workspace name that is forged, of another workspace or missing", () => {
    for (const receivedName of ["forged", "south", undefined]) {
        assert.deepEqual(findKeyFaults(outOfSync, ...first, sent(100, "r", "n"), ran(110, "r", receivedName)), [
            "workspaceName",
        ]);
    }
    const open = [sent(100, "r", undefined, true), ran(110, "r", "forged")];
    assert.deepEqual(findKeyFaults(outOfSync, ...first, ...open), ["workspaceName"]);
});

test("keys: reports a key that reaches a server, even if the server rejects the request", () => {
    assert.deepEqual(findKeyFaults(synced, ...first, sent(1, "r", "n"), ran(2, "r", "north", true)), ["keyPassedOn"]);
    const away: HistoryEvent = {
        type: "serverTurnedAway",
        requestId: "r",
        server: "a",
        availabilityZone: "north",
        cold: false,
        keyPassedOn: true,
    };
    assert.deepEqual(findKeyFaults(synced, ...first, sent(1, "r", "n"), [2, away]), ["keyPassedOn"]);
});

test("keys: reports a request that runs with an unknown or no key, even if hosts are out of sync", () => {
    for (const keyId of ["other", undefined]) {
        assert.deepEqual(findKeyFaults(outOfSync, ...first, sent(1, "r", keyId), ran(2, "r", "north")), ["unknownKey"]);
    }
    // A version that is written after the request ran doesn't make its key known.
    const early = [sent(1, "r", "late"), ran(2, "r", "north"), ...version(3, 2, [{ name: "north", keyIds: ["late"] }])];
    assert.deepEqual(findKeyFaults(outOfSync, ...first, ...early), ["unknownKey"]);
});

test("keys: reports a revoked key only once the version must be in force and hosts are in sync with the store", () => {
    const revoked = [...first, ...version(1_000, 2, [{ name: "south", keyIds: ["s"] }])];
    assert.deepEqual(findKeyFaults(synced, ...revoked, sent(3_500, "r", "n"), ran(3_600, "r", "north")), []);
    const late = [...revoked, sent(3_520, "r", "n"), ran(3_600, "r", "north")];
    assert.deepEqual(findKeyFaults(synced, ...late), ["revokedKey"]);
    assert.deepEqual(findKeyFaults(outOfSync, ...late), []);
});

test("keys: a moved key must run for its new workspace once the version must be in force", () => {
    const moved = [...first, ...version(1_000, 2, [{ name: "south", keyIds: ["n", "s"] }])];
    assert.deepEqual(findKeyFaults(synced, ...moved, sent(3_520, "r", "n"), ran(3_600, "r", "south")), []);
    assert.deepEqual(findKeyFaults(synced, ...moved, sent(3_520, "r", "n"), ran(3_600, "r", "north")), [
        "workspaceName",
    ]);
});

test("keys: reports status 401 if every version that may be in force contains the key", () => {
    const added = [...first, ...version(1_000, 2, [{ name: "north", keyIds: ["n", "new"] }])];
    assert.deepEqual(findKeyFaults(synced, ...added, sent(3_500, "r", "new"), answered(3_600, "r", 401)), []);
    assert.deepEqual(findKeyFaults(synced, ...added, sent(3_520, "r", "new"), answered(3_600, "r", 401)), [
        "keyDenied",
    ]);
    assert.deepEqual(findKeyFaults(outOfSync, ...added, sent(3_520, "r", "new"), answered(3_600, "r", 401)), []);
    assert.deepEqual(findKeyFaults(outOfSync, ...added, sent(3_520, "r", "n"), answered(3_600, "r", 401)), [
        "keyDenied",
    ]);
});

test("keys: reports status 429 if no version that may be in force limits the workspace", () => {
    const refused = [sent(100, "r", "n"), answered(110, "r", 429)];
    assert.deepEqual(findKeyFaults(synced, ...first, ...refused), ["limitRefused"]);
    assert.deepEqual(findKeyFaults(synced, ...version(0, 1, limited(10)), ...refused), []);
});

/** @returns evenly spaced requests, each of which starts 10 ms after it was sent */
function createLoad(fromMs: number, count: number, everyMs: number): readonly Timed[] {
    return Array.from({ length: count }, (_, i) => fromMs + i * everyMs).flatMap((atMs, i) => [
        sent(atMs, `r${fromMs}-${i}`, "n"),
        ran(atMs + 10, `r${fromMs}-${i}`, "north"),
    ]).sort(([a], [b]) => a - b);
}

function limited(perSecond: number): readonly WrittenWorkspace[] {
    return [{ name: "north", keyIds: ["n"], limit: { perSecond, burst: perSecond } }];
}

function countLimitFaults(bounds: typeof synced, ...events: readonly Timed[]): number {
    return checkWorkspaceLimits(createHistory(...events), { ...bounds, ...tolerance }).length;
}

test("limits: reports one request above (5 * rate + burst) * 1.1 + 20 in 5 s, unless it starts later", () => {
    const ten = version(0, 1, limited(10));
    assert.equal(countLimitFaults(synced, ...ten, ...createLoad(100, 86, 50)), 0);
    assert.equal(countLimitFaults(outOfSync, ...ten, ...createLoad(100, 87, 50)), 1);
    const lastStartsLater = createLoad(100, 87, 50).map(([atMs, event]): Timed =>
        event.type === "serverStarted" && event.requestId === "r100-86" ? [6_000, event] : [atMs, event]
    );
    assert.equal(countLimitFaults(synced, ...ten, ...lastStartsLater), 0);
    // A request that starts twice counts once.
    assert.equal(countLimitFaults(synced, ...ten, ...createLoad(100, 86, 50), ran(4_500, "r100-0", "north")), 0);
});

test("limits: a lowered limit applies to windows that start once it is in force", () => {
    const lowered = [...version(0, 1, limited(10)), ...version(1_000, 2, limited(1))];
    assert.equal(countLimitFaults(synced, ...lowered, ...createLoad(3_400, 60, 1)), 0);
    assert.equal(countLimitFaults(synced, ...lowered, ...createLoad(3_600, 60, 1)), 1);
    assert.equal(countLimitFaults(outOfSync, ...lowered, ...createLoad(3_600, 60, 1)), 0);
});
