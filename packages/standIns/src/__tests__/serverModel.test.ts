import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultServerCapacity, ServerModel } from "../backendServer/serverModel.js";

test("a warm server runs requests in its slots, queues some and sheds the rest", () => {
    const model = new ServerModel({ ...defaultServerCapacity, queueLimit: 1 }, true);
    const admissions = [1, 2, 3, 4, 5].map(() => model.admit(0));
    assert.deepEqual(admissions, ["run", "run", "run", "queue", "shed"]);
    assert.equal(model.startQueued(), false);
    model.onRequestEnded(true);
    assert.equal(model.startQueued(), true);
    assert.equal(model.inFlight, 3);
});

test("the concurrency limit of a cold server grows with its successful responses", () => {
    const model = new ServerModel({ ...defaultServerCapacity, answersToWarm: 4 }, false);
    const bears: number[] = [];
    for (let i = 0; i < 4; i++) {
        bears.push(model.concurrencyLimit);
        assert.equal(model.admit(i), "run");
        model.onRequestEnded(true);
    }
    assert.deepEqual(bears, [1, 1, 2, 2]);
    assert.equal(model.state, "warm");
});

test("a cold server over its concurrency limit is overloaded, and its warm-up starts over", () => {
    const model = new ServerModel({ ...defaultServerCapacity, answersToWarm: 4, overloadRecoveryMs: 1_000 }, false);
    for (let i = 0; i < 2; i++) {
        model.admit(0);
        model.onRequestEnded(true);
    }
    assert.deepEqual([1, 2, 3].map(() => model.admit(0)), ["run", "run", "fallOver"]);
    assert.equal(model.concurrencyLimit, 1);
    assert.equal(model.coldOverloads, 1);
    for (let i = 0; i < 3; i++) {
        model.onRequestEnded(false);
    }
    assert.equal(model.admit(999), "fallOver");
    model.onRequestEnded(false);
    assert.equal(model.admit(1_000), "run");
});
