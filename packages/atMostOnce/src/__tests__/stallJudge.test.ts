import assert from "node:assert/strict";
import { test } from "node:test";
import { type AwaitedHead, StallJudge, stallMinimumMs } from "../index.js";

function createAwaited(sentAtMs: number, serverId = "tables/1"): AwaitedHead {
    return { service: "tables", serverId, sentAtMs };
}

// One read waits on a silent connection while the backend server answers what was sent to it later.
test("an attempt stalls once later ones were answered and its time is long over", () => {
    const judge = new StallJudge();
    const awaited = createAwaited(0);
    judge.onHead(createAwaited(10), 20);
    assert.equal(judge.isStalled(awaited, stallMinimumMs - 1), false);
    assert.equal(judge.isStalled(awaited, stallMinimumMs), true);
});

// The server has turned slow for everybody. Giving attempts up would multiply its load, so it takes an answer to
// something that was sent later, by the same server, to call a connection silent.
test("a server that answers nothing later is slow, not silent", () => {
    const judge = new StallJudge();
    const awaited = createAwaited(100);
    judge.onHead(createAwaited(50), 10_000);
    judge.onHead(createAwaited(200, "tables/2"), 10_000);
    assert.equal(judge.isStalled(awaited, 1e6), false);
});

test("a service whose answers take long is given several times as long", () => {
    const judge = new StallJudge();
    judge.onHead(createAwaited(0), 60_000);
    judge.onHead(createAwaited(10), 60_010);
    const awaited = createAwaited(5);
    assert.equal(judge.limitMs("tables"), 240_000);
    assert.equal(judge.isStalled(awaited, 200_000), false);
    assert.equal(judge.isStalled(awaited, 240_005), true);
});
