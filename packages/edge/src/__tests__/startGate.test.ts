import { systemClock } from "@galenaglade/http-parts";
import { type StartupRequest } from "@galenaglade/placement";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StartGate } from "../callers/startGate.js";

const late: StartupRequest = {
    arrivedAtMs: 0,
    objectiveMs: 300,
    patienceMs: 500,
    route: "lookup",
    typicalLatencyMs: 400,
};

// Right after a stop of all hosts a request waits for its turn while its time runs out. Held on, its caller would get no answer at all.
test("a request whose time is over while it waits for its turn goes on at once, and takes nobody's turn", async () => {
    const gate = new StartGate(systemClock);
    const first = await gate.enter(late, new AbortController().signal);
    const abort = new AbortController();
    const second = gate.enter(late, abort.signal);
    const third = gate.enter(late, new AbortController().signal);
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
    const gate = new StartGate(systemClock);
    await gate.enter(late, new AbortController().signal);
    await gate.enter(late, AbortSignal.abort());
});
