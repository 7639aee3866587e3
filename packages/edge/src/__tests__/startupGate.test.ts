import { systemClock } from "@galenaglade/http-parts";
import { type StartupRequest } from "@galenaglade/placement";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StartupGate } from "../callers/startupGate.js";

const late: StartupRequest = {
    arrivedAtMs: 0,
    objectiveMs: 300,
    patienceMs: 500,
    route: "lookup",
    typicalLatencyMs: 400,
};

// After an outage of all hosts, a request reaches its deadline while it waits for a permit. If it were held on, its
// caller would get no response at all.
test("a request that reaches its deadline while it waits goes on at once, and takes no permit", async () => {
    const gate = new StartupGate(systemClock);
    const first = await gate.acquire(late, new AbortController().signal);
    const abort = new AbortController();
    const second = gate.acquire(late, abort.signal);
    const third = gate.acquire(late, new AbortController().signal);
    abort.abort();
    (await second).onEnded();
    let begun = false;
    void third.then(() => begun = true);
    await new Promise(resolve => setImmediate(resolve));
    assert.ok(!begun, "the first request still holds its permit");
    first.onEnded();
    await third;
});

test("a request that is past its deadline on arrival doesn't wait for a permit", async () => {
    const gate = new StartupGate(systemClock);
    await gate.acquire(late, new AbortController().signal);
    await gate.acquire(late, AbortSignal.abort());
});
