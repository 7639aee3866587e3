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

// Right after a stop of all hosts a request waits for its turn while its time runs out. Held on, its caller would get no answer at all.
test("a request whose time is over while it waits for its turn goes on at once, and takes nobody's turn", async () => {
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
    assert.ok(!begun, "the first one's turn is not over");
    first.onEnded();
    await third;
});

test("a request whose time is over before it comes doesn't wait", async () => {
    const gate = new StartupGate(systemClock);
    await gate.acquire(late, new AbortController().signal);
    await gate.acquire(late, AbortSignal.abort());
});
