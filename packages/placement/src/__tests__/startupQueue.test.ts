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
/** Its caller waited for longer than the objective before it came. */
const lateRequest: StartupRequest = { ...request, patienceMs: 1_200 };

function takeItems(turns: StartupQueue<string>, nowMs: number): readonly string[] {
    return turns.takeReady(nowMs).map(({ item }) => item);
}

// Placed in the order in which they came, requests that are late already would take the time and the servers of those that are not.
test("whoever can still be in time goes first, the newest of them first, and few at once", () => {
    const turns = new StartupQueue<string>(0);
    turns.enqueue(lateRequest, "late 1");
    turns.enqueue(lateRequest, "late 2");
    for (let i = 0; i < maxStartupSearches + 1; i++) {
        turns.enqueue({ ...request, arrivedAtMs: i }, `${i}`);
    }
    const newest = Array.from({ length: maxStartupSearches }, (_, i) => `${maxStartupSearches - i}`);
    assert.deepEqual(takeItems(turns, 10), newest);
    turns.onSent(newest[0] ?? "");
    assert.deepEqual(turns.takeReady(10), [{ item: "0", untilEnd: false }, { item: "late 1", untilEnd: true }]);
    turns.onSent("late 1");
    assert.deepEqual(takeItems(turns, 10), [], "a late one keeps its turn until it ends");
    turns.onEnded("late 1");
    assert.deepEqual(takeItems(turns, 10), ["late 2"]);
});

// A turn that is never given back, or one that never comes, would hold requests until their callers leave.
test("at the end of the first seconds everybody's turn has come, and a request that left is passed over", () => {
    const turns = new StartupQueue<string>(0);
    for (const item of ["a", "b", "c", "d"]) {
        turns.enqueue(lateRequest, item);
    }
    turns.enqueue(request, "in time");
    assert.deepEqual(takeItems(turns, 10), ["in time", "a"]);
    turns.remove("c");
    assert.deepEqual(takeItems(turns, startupQueueMs), ["b", "d"]);
});

// A caller that is merely less patient than others of its route must not be taken for one that waited.
test("patience says that a caller waited only of those that come with the first ones", () => {
    const turns = new StartupQueue<string>(0);
    turns.enqueue(request, "first");
    turns.enqueue({ ...lateRequest, arrivedAtMs: 1_000 }, "impatient");
    assert.deepEqual(turns.takeReady(1_000)[0], { item: "impatient", untilEnd: false });
});

const stopAll = new URL("../../../replay/scenarios/fleet-stop-all.yaml", import.meta.url);
const allowedProbes = 500;

// All hosts stop and start again 1.2 s later. The callers of the stop come at once, most of them late already. Placed together, they
// fill the servers and the gateways' processors for two seconds, and those who come meanwhile are late as well: 35 to 41 in 100 of
// the first two seconds were in time, and 39 to 44 with turns for those in time alone.
test("120 gateways that all start at once serve those first that can still be in time", () => {
    const scenario = resolveScenario(readFileSync(stopAll, "utf8")).unsafeCoerce();
    const startedAtMs = 7_200;
    for (const seed of [1, 2, 3]) {
        const fleet = new FleetReplay({ ...scenario, seed, durationMs: 12_000 }).run();
        const share = (fromMs: number): number => {
            const came = fleet.callers.filter(({ arrivedAtMs }) =>
                arrivedAtMs >= startedAtMs + fromMs && arrivedAtMs < startedAtMs + fromMs + 2_000
            );
            return came.filter(caller => caller.isInTime).length / came.length;
        };
        assert.ok(share(0) > 0.455, `seed ${seed}: ${share(0)} in time in the first two seconds`);
        assert.ok(share(2_000) > 0.9, `seed ${seed}: ${share(2_000)} in time in the next two`);
        const most = Math.max(...fleet.servers.map(({ probes }) => probes));
        assert.ok(most <= allowedProbes, `seed ${seed}: ${most} probes of a server in twelve seconds`);
    }
});
