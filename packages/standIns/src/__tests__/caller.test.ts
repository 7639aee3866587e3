import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { BackendServer } from "../backendServer/backendServer.js";
import { Caller } from "../caller/caller.js";
import { classifyResponse } from "../caller/classifyResponse.js";
import { type CallerPlan, type CallerPlanInput, callerPlanSchema } from "../caller/callerPlan.js";
import { generateSchedule } from "../caller/generateSchedule.js";
import { OutcomeTally } from "../caller/outcomeTally.js";
import { computeDigest } from "../backendServer/backendResponse.js";
import { MemoryHistoryRecorder } from "../recording/historyRecorder.js";

const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const stop of stops.splice(0).reverse()) {
        await stop();
    }
});

async function startServer(): Promise<BackendServer> {
    const server = await BackendServer.start({ name: "catalog-1", availabilityZone: "zone-a" });
    stops.push(() => server.stop());
    return server;
}

const catalog = { service: "catalog", authority: "stones.example", patienceMs: 20_000, work: { medianMs: 1 } };

function createPlan(more: Partial<CallerPlanInput> = {}): CallerPlan {
    return callerPlanSchema.parse({
        name: "caller-1",
        seed: 7,
        targets: ["http://127.0.0.1:1"],
        mix: [catalog],
        phases: [{ durationMs: 1_000, requestsPerSecond: 100 }],
        ...more,
    });
}

test("a seed gives the same schedule for any target, at the configured rate", () => {
    const phases = [{ durationMs: 60_000, requestsPerSecond: 100 }];
    const getTimes = (plan: CallerPlan) => [...generateSchedule(plan)].map(({ atMs, workMs }) => ({ atMs, workMs }));
    const first = getTimes(createPlan({ phases }));
    const second = getTimes(createPlan({ phases, targets: ["http://127.0.0.1:2"] }));
    assert.deepEqual(first, second);
    assert.ok(first.length > 5_700 && first.length < 6_300, String(first.length));
    assert.notDeepEqual(first, getTimes(createPlan({ phases, seed: 8 })));
});

test("a surge of one service raises its share of requests by the configured factor", () => {
    const mix = [catalog, { ...catalog, service: "orders" }];
    const surge = { service: "orders", factor: 9 };
    const plan = createPlan({ mix, phases: [{ durationMs: 60_000, requestsPerSecond: 100, surge }] });
    const services = [...generateSchedule(plan)].map(scheduled => scheduled.mix.service);
    const share = services.filter(service => service === "orders").length / services.length;
    assert.ok(share > 0.87 && share < 0.93, String(share));
});

test("a plan accepts only loopback targets", () => {
    assert.throws(() => createPlan({ targets: ["http://10.0.0.1:80"] }), /loopback/);
});

test("requests are counted by outcome", async () => {
    const server = await startServer();
    const history = new MemoryHistoryRecorder("caller-1");
    server.setFaults({ truncateAnswers: 1 });
    const plan = createPlan({ targets: [server.url], maximumRequests: 10 });
    const tally = await new Caller(plan, history).run();
    const counts = tally.getCounts("catalog/default");
    assert.equal(counts.sent, 10);
    assert.equal(counts.cutOff, 1);
    assert.equal(counts.withinPatience, 9);
    assert.equal(tally.getLatency("catalog/default").count, 9);
    assert.equal(history.lines.filter(line => line.type === "callerSent").length, 10);
    assert.equal(history.lines.filter(line => line.type === "callerAnswered" && line.whole).length, 9);
});

test("a caller times out after its patience, and the wait is counted as latency", async () => {
    // A server accepts the request and never responds. If timed-out requests were left out of the latencies, a variant
    // that loses requests would look faster than one that responds late.
    const server = await startServer();
    server.setFaults({ silent: "all" });
    const mix = [{ ...catalog, patienceMs: 50 }];
    const tally = await new Caller(createPlan({ targets: [server.url], mix, maximumRequests: 1 })).run();
    assert.equal(tally.getCounts("catalog/default").gaveUp, 1);
    assert.ok(tally.getLatency("catalog/default").max >= 50);
});

test("an error response says whether the request ran", async () => {
    const server = await startServer();
    server.setFaults({ shed: true });
    const tally = await new Caller(createPlan({ targets: [server.url], maximumRequests: 3 })).run();
    const { refused, refusedDidNotRun, whole } = tally.getCounts("catalog/default");
    assert.deepEqual({ refused, refusedDidNotRun, whole }, { refused: 3, refusedDidNotRun: 3, whole: 0 });
});

test("a response to another request and a modified response are classified as wrong", () => {
    const text = JSON.stringify({ requestId: "r1", server: "s", incarnation: "1", requestDigest: "", padding: "" });
    const received = { status: 200, didRun: undefined, bodyDigest: computeDigest(text), text };
    assert.equal(classifyResponse("r1", received).type, "whole");
    assert.equal(classifyResponse("r2", received).type, "wrong");
    assert.equal(classifyResponse("r1", { ...received, bodyDigest: computeDigest("other") }).type, "wrong");
});

test("the results of several callers are summed", () => {
    const one = new OutcomeTally();
    one.add("a", { type: "whole", status: 200, bodyRequestId: "r" }, 10, 100);
    const two = new OutcomeTally();
    two.add("a", { type: "whole", status: 200, bodyRequestId: "r" }, 1_000, 100);
    const merged = OutcomeTally.merge([one.toDocument(), two.toDocument()]);
    assert.equal(merged.getCounts("a").sent, 2);
    assert.equal(merged.getCounts("a").withinPatience, 1);
    assert.equal(Math.round(merged.getLatency("a").max), 1_000);
});
