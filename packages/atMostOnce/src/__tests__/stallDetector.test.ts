import assert from "node:assert/strict";
import { test } from "node:test";
import { type PendingAttempt, StallDetector, minStallTimeoutMs } from "../index.js";

function createAttempt(sentAtMs: number, serverId = "tables/1"): PendingAttempt {
    return { service: "tables", serverId, sentAtMs };
}

// A read waits on a dead connection while the backend server responds to requests that were sent to it later.
test("an attempt is stalled once its timeout has passed and a later attempt was answered", () => {
    const detector = new StallDetector();
    const attempt = createAttempt(0);
    detector.onHead(createAttempt(10), 20);
    assert.equal(detector.isStalled(attempt, minStallTimeoutMs - 1), false);
    assert.equal(detector.isStalled(attempt, minStallTimeoutMs), true);
});

// The server is slow for all requests. Abandoning attempts would multiply its load, so a connection is considered dead
// only after the same server has responded to a later attempt.
test("an attempt at a slow server is not stalled while no later attempt was answered", () => {
    const detector = new StallDetector();
    const attempt = createAttempt(100);
    detector.onHead(createAttempt(50), 10_000);
    detector.onHead(createAttempt(200, "tables/2"), 10_000);
    assert.equal(detector.isStalled(attempt, 1e6), false);
});

// Archive extracts take one to three seconds, depending on their size. One that takes as long as some others is not on
// a dead connection, although it takes several times the mean and later attempts have overtaken it.
test("a service with widely varying response times gets a longer timeout", () => {
    const detector = new StallDetector();
    for (let i = 0; i < 100; i++) {
        detector.onHead(createAttempt(i * 10_000), i * 10_000 + (i % 10 === 0 ? 5_000 : 500));
    }
    const attempt = createAttempt(1_000_000);
    detector.onHead(createAttempt(1_000_100), 1_000_600);
    assert.equal(detector.isStalled(attempt, 1_005_000), false);
});

test("the timeout of a slow service is a multiple of its mean response time", () => {
    const detector = new StallDetector();
    detector.onHead(createAttempt(0), 60_000);
    detector.onHead(createAttempt(10), 60_010);
    const attempt = createAttempt(5);
    assert.equal(detector.getTimeoutMs("tables"), 240_000);
    assert.equal(detector.isStalled(attempt, 200_000), false);
    assert.equal(detector.isStalled(attempt, 240_005), true);
});
