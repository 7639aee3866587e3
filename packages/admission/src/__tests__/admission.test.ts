import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget, WaitQueue } from "../index.js";

test("refuses a request that would be served too late immediately, with a retry delay", () => {
    // A slot is freed every 10 ms. The caller with 25 ms of patience left would be fourth in the queue. It is refused
    // now instead of after its patience, so that it can try another host.
    const queue = new WaitQueue();
    for (let id = 1; id <= 3; id++) {
        assert.equal(queue.enqueue({ id, deadlineMs: 1_000 }, 0, 5).type, "waits");
    }
    queue.onSlotFreed(0);
    queue.onSlotFreed(10);
    const decision = queue.enqueue({ id: 4, deadlineMs: 35 }, 10, 5);
    assert.deepEqual(decision, { type: "refuse", retryAfterMs: 40 });
    assert.equal(queue.enqueue({ id: 5, deadlineMs: 100 }, 10, 5).type, "waits");
});

test("skips queued requests whose deadline has passed", () => {
    const queue = new WaitQueue();
    queue.enqueue({ id: 1, deadlineMs: 20 }, 0, 5);
    queue.enqueue({ id: 2, deadlineMs: 200 }, 0, 5);
    assert.equal(queue.dequeue(50)?.id, 2);
    assert.equal(queue.dequeue(50), undefined);
});

test("limits retries to a share of successes", () => {
    // A service returns only errors: once the saved retries are used up, no more are sent, so that failures can't
    // increase its load.
    const budget = new RetryBudget();
    let sent = 0;
    for (let i = 0; i < 1_000; i++) {
        sent += budget.tryTake() ? 1 : 0;
    }
    assert.equal(sent, 20);
    for (let i = 0; i < 101; i++) {
        budget.onSuccess();
    }
    let after = 0;
    while (budget.tryTake()) {
        after++;
    }
    assert.equal(after, 10);
});
