import { sendRawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { MemoryStore } from "./support/memoryStore.js";
import {
    call,
    createConfiguration,
    eventually,
    registerServer,
    renderSignedResponse,
    startBackend,
    returns,
    startEdge,
    tables,
    type TestEdge,
    waitUntilReady,
} from "./support/testEdge.js";

async function startSlowPath(t: TestContext, workMs: number): Promise<TestEdge<MemoryStore>> {
    const store = new MemoryStore();
    // Slots for all requests at once, and a long objective: no request is rejected just because the machine probes
    // slowly.
    const patient = [tables, returns].map(route => ({ ...route, objectiveMs: 4_000 }));
    store.put("configuration", createConfiguration(1, patient));
    const backend = await startBackend(t, "a", req => {
        setTimeout(() => req.socket.write(renderSignedResponse(req, req.path)), workMs);
    });
    backend.load = "0,0,20,1";
    registerServer(store, backend, { slots: 20 });
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    return edge;
}

test("requests in flight at a planned stop get their whole answers, and those that still arrive too", async t => {
    const edge = await startSlowPath(t, 400);
    const inFlight = Array.from({ length: 8 }, (_, i) => call(edge, `/returns/${i}`, { method: "POST" }));
    await sleep(100);
    const stopped = edge.stop();
    const readiness = await request(edge.readinessUrl);
    await readiness.body.dump();
    assert.equal(readiness.statusCode, 503);
    const late = await call(edge, "/tables/late");
    assert.deepEqual([late.status, late.headers["connection"]], [200, "close"]);
    for (const [i, got] of (await Promise.all(inFlight)).entries()) {
        assert.deepEqual([got.status, got.body], [200, `/returns/${i}`]);
    }
    await stopped;
    assert.equal(edge.logs.at(-1)?.["message"], "stopped");
    assert.equal(edge.logs.at(-1)?.["unanswered"], 0);
});

// A caller has pipelined three requests when its gateway begins a planned stop. If the connection were closed with the
// first response, two responses would be lost that servers already work on.
test("a connection with pipelined requests closes with the last response that is due on it", async t => {
    const edge = await startSlowPath(t, 200);
    const render = (n: number): string => `GET /tables/${n} HTTP/1.1\r\nhost: survey.example\r\nx-id: p${n}\r\n\r\n`;
    const received = sendRawRequest(edge.url, render(1) + render(2) + render(3));
    await sleep(80);
    const stopped = edge.stop();
    const { text, reset } = await received;
    assert.equal(reset, false);
    assert.deepEqual(text.match(/\/tables\/\d/g), ["/tables/1", "/tables/2", "/tables/3"]);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
    await stopped;
});

test("a request that outlasts the planned stop gets a response before the process ends", async t => {
    const edge = await startSlowPath(t, 60_000);
    const pending = call(edge, "/returns/x", { method: "POST" });
    await eventually(() => true, "time passes");
    await sleep(50);
    await edge.stop();
    assert.equal((await pending).status, 504);
});

// The store stops responding just before a planned stop. If the process waited for it, it would be killed at the end of
// its grace period, together with the requests in flight.
test("a store that doesn't respond doesn't delay a planned stop", async t => {
    const edge = await startSlowPath(t, 10);
    await eventually(() => edge.logs.some(line => line["message"] === "registered"), "the gateway is registered");
    edge.store.isHanging = true;
    const startedAtMs = performance.now();
    await edge.stop();
    assert.ok(performance.now() - startedAtMs < 3_000);
});
