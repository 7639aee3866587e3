import assert from "node:assert/strict";
import { test } from "node:test";
import { type PendingAttempt, StallDetector, minStallTimeoutMs } from "../index.js";

function createAwaited(sentAtMs: number, serverId = "tables/1"): PendingAttempt {
    return { service: "tables", serverId, sentAtMs };
}

// One read waits on a silent connection while the backend server answers what was sent to it later.
test("an attempt stalls once later ones were answered and its time is long over", () => {
    const judge = new StallDetector();
    const awaited = createAwaited(0);
    judge.onHead(createAwaited(10), 20);
    assert.equal(judge.isStalled(awaited, minStallTimeoutMs - 1), false);
    assert.equal(judge.isStalled(awaited, minStallTimeoutMs), true);
});

// The server has turned slow for everybody. Giving attempts up would multiply its load, so it takes an answer to
// something that was sent later, by the same server, to call a connection silent.
test("a server that answers nothing later is slow, not silent", () => {
    const judge = new StallDetector();
    const awaited = createAwaited(100);
    judge.onHead(createAwaited(50), 10_000);
    judge.onHead(createAwaited(200, "tables/2"), 10_000);
    assert.equal(judge.isStalled(awaited, 1e6), false);
});

// Archive extracts take a second or three, by their size. One that takes as long as some others is no silent connection,
// though it is several times the average and others have overtaken it.
test("a service whose answers differ much is given longer", () => {
    const judge = new StallDetector();
    for (let i = 0; i < 100; i++) {
        judge.onHead(createAwaited(i * 10_000), i * 10_000 + (i % 10 === 0 ? 5_000 : 500));
    }
    const awaited = createAwaited(1_000_000);
    judge.onHead(createAwaited(1_000_100), 1_000_600);
    assert.equal(judge.isStalled(awaited, 1_005_000), false);
});

test("a service whose answers take long is given several times as long", () => {
    const judge = new StallDetector();
    judge.onHead(createAwaited(0), 60_000);
    judge.onHead(createAwaited(10), 60_010);
    const awaited = createAwaited(5);
    assert.equal(judge.getTimeoutMs("tables"), 240_000);
    assert.equal(judge.isStalled(awaited, 200_000), false);
    assert.equal(judge.isStalled(awaited, 240_005), true);
});
