import { type HistoryEvent, type HistoryLine } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkSoak, type SoakRecord } from "../checks.js";
import { type RequestOutcome } from "../soakCaller.js";
import { FaultWindows } from "../faultWindows.js";

const serviceOf = new Map([["s1", "tables"], ["s2", "returns"]]);

function record(
    ...events: readonly (readonly [atMs: number, process: string, event: HistoryEvent])[]
): readonly HistoryLine[] {
    return events.map(([atMs, process, event], i) => ({ ...event, atMs, sequence: i + 1, process }));
}

function started(requestId: string, server: string): HistoryEvent {
    const more = { availabilityZone: "north", incarnation: server, cold: false, inFlight: 1, bears: 3 };
    return { type: "serverStarted", requestId, server, ...more };
}

function sent(requestId: string): HistoryEvent {
    return { type: "callerSent", requestId, service: "moving", idempotent: true, patienceMs: 3_000 };
}

function answered(requestId: string): HistoryEvent {
    return { type: "callerAnswered", requestId, status: 200, didRun: undefined, whole: true, bodyRequestId: requestId };
}

function version(type: "configurationWritten" | "configurationAccepted", revision: number): HistoryEvent {
    return { type, revision, changeId: "" };
}

const served: RequestOutcome = {
    requestId: "last",
    route: "read",
    status: 200,
    sentAtMs: 17_500,
    endedAtMs: 17_600,
    connected: true,
    truncated: false,
    disconnectedEarly: false,
    timedOut: false,
    retryAfter: undefined,
};

function check(
    history: readonly HistoryLine[],
    more: {
        readonly harmed?: FaultWindows;
        readonly ends?: readonly RequestOutcome[];
        readonly edgeHarmed?: FaultWindows;
    } = {},
): readonly string[] {
    const ends = [served, ...more.ends ?? []].map(outcome => ({ outcome, killed: false }));
    return checkSoak(
        {
            history,
            faultWindows: more.harmed ?? new FaultWindows(),
            edges: [{ outcomes: ends, faultWindows: more.edgeHarmed ?? new FaultWindows() }],
            serviceOf,
            findings: [],
            endedAtMs: 20_000,
        } satisfies SoakRecord,
    );
}

// Version 2 routes the moving route to tables, version 3 to returns.
const changed = record(
    [0, "op", version("configurationWritten", 2)],
    [1, "op", version("configurationAccepted", 2)],
    [5_000, "op", version("configurationWritten", 3)],
    [5_010, "op", version("configurationAccepted", 3)],
    [7_000, "edge-1/1", sent("soon")],
    [7_010, "s1", started("soon", "s1")],
    [8_000, "edge-1/1", sent("late")],
    [8_010, "s1", started("late", "s1")],
);

test("a configuration version that is not in force in time is reported, unless a fault excuses it", () => {
    assert.deepEqual(check(changed), ["configurationInForce: late went to tables, which no version since 3 routes to"]);
    const harmed = new FaultWindows();
    harmed.begin(5_500)(6_000);
    assert.deepEqual(check(changed, { harmed }), []);
});

test("a gateway that returns to an older configuration is reported, unless it has restarted", () => {
    const changeBack = (incarnation: string): readonly HistoryLine[] =>
        record(
            [0, "op", version("configurationWritten", 2)],
            [1, "op", version("configurationAccepted", 2)],
            [100, "op", version("configurationWritten", 3)],
            [110, "op", version("configurationAccepted", 3)],
            [200, "edge-1/1", sent("new")],
            [210, "s2", started("new", "s2")],
            [220, "edge-1/1", answered("new")],
            [500, incarnation, sent("old")],
            [510, "s1", started("old", "s1")],
        );
    assert.equal(check(changeBack("edge-1/1")).length, 1);
    assert.deepEqual(check(changeBack("edge-1/2")), []);
});

test("a request that hangs, is lost, or is rejected without cause or Retry-After header is reported", () => {
    const end = { ...served, requestId: "r", status: undefined, sentAtMs: 1_000, endedAtMs: 5_000 };
    const held = { ...end, timedOut: true };
    assert.equal(check([], { ends: [held] }).length, 1);
    const paused = new FaultWindows();
    paused.begin(2_000)(3_000);
    assert.deepEqual(check([], { ends: [held], edgeHarmed: paused }), []);
    assert.equal(check(record([1_010, "s1", started("r", "s1")]), { ends: [end] }).length, 1);
    assert.deepEqual(check([], { ends: [end] }), []);
    assert.equal(check([], { ends: [{ ...end, status: 404 }] }).length, 1);
    assert.equal(check([], { ends: [{ ...end, status: 503 }] }).length, 1);
    assert.deepEqual(check([], { ends: [{ ...end, status: 503, retryAfter: "0.2" }] }), []);
});

test("a fleet that does not recover from its faults is reported", () => {
    assert.equal(check([], { ends: [{ ...served, status: 503, retryAfter: "1" }] }).length, 1);
});

test("a 401 is reported, unless the configuration lacks the caller's key", () => {
    const end = { ...served, requestId: "r", status: 401, sentAtMs: 1_000, endedAtMs: 1_010 };
    assert.deepEqual(check([], { ends: [end] }), ["denied: r is valid, but got status 401"]);
    const workspaces = [{ name: "atlas", keyIds: ["k"] }];
    const answer = { ...answered("r"), status: 401 } as HistoryEvent;
    const history = (keyId: string): readonly HistoryLine[] =>
        record(
            [0, "op", { type: "configurationWritten", revision: 2, changeId: "", workspaces }],
            [1_000, "edge-1/1", { ...sent("r"), keyId } as HistoryEvent],
            [1_010, "edge-1/1", answer],
        );
    assert.deepEqual(check(history("other"), { ends: [end] }), []);
    assert.equal(check(history("k"), { ends: [end] }).filter(line => line.startsWith("keyDenied")).length, 1);
});

test("a truncated large response is reported, unless its server corrupted it or exited", () => {
    const short = { ...served, requestId: "r", status: undefined, sentAtMs: 1_000, endedAtMs: 1_100, truncated: true };
    const large = { ...short, route: "large" as const };
    const ran = [1_010, "s1", started("r", "s1")] as const;
    const spoilt = [1_050, "s1", { type: "serverSpoilt", requestId: "r", server: "s1" }] as const;
    const exited = [1_050, "op", { type: "serverExited", server: "s1" }] as const;
    assert.equal(check(record(ran), { ends: [large] }).length, 1);
    assert.deepEqual(check(record(ran, spoilt), { ends: [large] }), []);
    assert.deepEqual(check(record(ran, exited), { ends: [large] }), []);
    // A gateway buffers a short response until it is complete, so that no caller receives a part of it.
    assert.equal(check(record(ran, spoilt), { ends: [short] }).length, 1);
});
