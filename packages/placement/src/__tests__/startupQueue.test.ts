import { FleetReplay, resolveScenario } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { maxStartupSearches, startupQueueMs } from "../constants.js";
import { type StartupRequest, StartupQueue } from "../startupQueue.js";

const request: StartupRequest = {
    arrivedAtMs: 0,
    objectiveMs: 300,
    patienceMs: 2_000,
    route: "lookup",
    typicalLatencyMs: 100,
};
/** Late on arrival: its caller had already waited for longer than the objective. */
const lateRequest: StartupRequest = { ...request, patienceMs: 1_200 };

function takeItems(queue: StartupQueue<string>, nowMs: number): readonly string[] {
    return queue.takeReady(nowMs).map(({ item }) => item);
}

// Guards against placement in order of arrival, which gives the servers to requests that are late already.
test("requests that can still be in time go first, the newest of them first, and only few at once", () => {
    const queue = new StartupQueue<string>(0);
    queue.enqueue(lateRequest, "late 1");
    queue.enqueue(lateRequest, "late 2");
    for (let i = 0; i < maxStartupSearches + 1; i++) {
        queue.enqueue({ ...request, arrivedAtMs: i }, `${i}`);
    }
    const newest = Array.from({ length: maxStartupSearches }, (_, i) => `${maxStartupSearches - i}`);
    assert.deepEqual(takeItems(queue, 10), newest);
    queue.onSent(newest[0] ?? "");
    assert.deepEqual(queue.takeReady(10), [{ item: "0", untilEnd: false }, { item: "late 1", untilEnd: true }]);
    queue.onSent("late 1");
    assert.deepEqual(takeItems(queue, 10), [], "a late request keeps its place until it ends");
    queue.onEnded("late 1");
    assert.deepEqual(takeItems(queue, 10), ["late 2"]);
});

// Guards against places that are never freed, which would hold requests until their callers give up.
test("when the queue ends, all waiting requests are placed except those that were removed", () => {
    const queue = new StartupQueue<string>(0);
    for (const item of ["a", "b", "c", "d"]) {
        queue.enqueue(lateRequest, item);
    }
    queue.enqueue(request, "in time");
    assert.deepEqual(takeItems(queue, 10), ["in time", "a"]);
    queue.remove("c");
    assert.deepEqual(takeItems(queue, startupQueueMs), ["b", "d"]);
});

// Guards against treating a caller with a shorter timeout than others of its route as one that has already waited.
test("a shorter timeout counts as time already waited only for callers that arrive with the first ones", () => {
    const queue = new StartupQueue<string>(0);
    queue.enqueue(request, "first");
    queue.enqueue({ ...lateRequest, arrivedAtMs: 1_000 }, "impatient");
    assert.deepEqual(queue.takeReady(1_000)[0], { item: "impatient", untilEnd: false });
});

const stopAll = new URL("../../../replay/scenarios/fleet-stop-all.yaml", import.meta.url);
const allowedProbes = 500;

// Guards against callers that are late after a restart of all hosts, 1.2 s after they stopped. Most callers of the
// downtime are late on arrival. Placed all at once, they fill the servers and the gateways' CPUs for two seconds and
// delay new callers: only 35 to 41 percent of the first two seconds were in time then, and 39 to 44 percent if only the
// requests in time were limited.
test("120 gateways that start at the same time serve the requests first that can still be in time", () => {
    const scenario = resolveScenario(readFileSync(stopAll, "utf8")).unsafeCoerce();
    const startedAtMs = 7_200;
    for (const seed of [1, 2, 3]) {
        const fleet = new FleetReplay({ ...scenario, seed, durationMs: 12_000 }).run();
        const share = (fromMs: number): number => {
            const arrived = fleet.callers.filter(({ arrivedAtMs }) =>
                arrivedAtMs >= startedAtMs + fromMs && arrivedAtMs < startedAtMs + fromMs + 2_000
            );
            return arrived.filter(caller => caller.isWithinObjective).length / arrived.length;
        };
        assert.ok(share(0) > 0.455, `seed ${seed}: ${share(0)} in time in the first two seconds`);
        assert.ok(share(2_000) > 0.9, `seed ${seed}: ${share(2_000)} in time in the next two seconds`);
        const max = Math.max(...fleet.servers.map(({ probes }) => probes));
        assert.ok(max <= allowedProbes, `seed ${seed}: ${max} probes of one server in twelve seconds`);
    }
});
