import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { MemoryStore } from "./support/memoryStore.js";
import {
    call,
    createConfiguration,
    eventually,
    registerServer,
    startBackend,
    startEdge,
    tables,
    waitUntilReady,
} from "./support/testEdge.js";

test("before the configuration is read, requests are refused at once and the balancer is told", async t => {
    const store = new MemoryStore();
    store.down = true;
    const edge = await startEdge(t, store);
    const got = await call(edge, "/tables/x");
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers["retry-after"]) > 0);
    const readiness = await request(edge.readinessUrl);
    await readiness.body.dump();
    assert.equal(readiness.statusCode, 503);

    store.down = false;
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    await waitUntilReady(edge);
    assert.equal((await call(edge, "/tables/x")).status, 200);
});

test("a new configuration is in force for new requests, and an older one never again", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(3));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    assert.equal((await call(edge, "/new/x")).status, 404);
    store.put("configuration", createConfiguration(5, [{ ...tables, pathPrefix: "/new/" }]));
    await eventually(async () => (await call(edge, "/new/x")).status === 200, "the new route is served");
    assert.equal((await call(edge, "/tables/x")).status, 404);
    store.put("configuration", createConfiguration(4));
    registerServer(store, await startBackend(t, "b"));
    await eventually(
        () => edge.logs.some(line => line["subject"] === "server" && line["name"] === "b"),
        "what came after it is known",
    );
    assert.equal((await call(edge, "/tables/x")).status, 404);
});

test("a server that drains, and one whose zone is taken out, get nothing more", async t => {
    const store = new MemoryStore();
    const a = await startBackend(t, "a");
    const b = await startBackend(t, "b");
    const c = await startBackend(t, "c");
    store.put("configuration", createConfiguration(1));
    registerServer(store, a);
    registerServer(store, b, { availabilityZone: "south" });
    registerServer(store, c);
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    registerServer(store, a, { state: "draining" });
    store.put("out/south", {});
    await eventually(
        () => edge.logs.filter(line => line["message"] === "belief" && line["change"] === "out").length > 0,
        "it is known",
    );
    const before = a.servedRequests().length + b.servedRequests().length;
    for (let i = 0; i < 10; i++) {
        assert.equal((await call(edge, "/tables/x")).body, "from c");
    }
    assert.equal(a.servedRequests().length + b.servedRequests().length, before);
    store.remove("out/south");
    c.load = "3,9,3,4";
    await eventually(async () => (await call(edge, "/tables/x")).body === "from b", "the zone is used again");
});

test("while the store is away, requests are served by what was known", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    store.down = true;
    registerServer(store, await startBackend(t, "b"));
    await eventually(() => edge.logs.some(line => line["message"] === "storeLost"), "the loss is logged");
    assert.equal((await call(edge, "/tables/x")).status, 200);
    store.down = false;
    await eventually(() => edge.logs.some(line => line["message"] === "storeRegained"), "the return is logged");
});

// The store drops its history while changes are made, and cuts the watches. A gateway that went on from its last
// revision would never hear of a server that left in the gap.
test("after the store forgot its history, everything is read anew", async t => {
    const store = new MemoryStore();
    const a = await startBackend(t, "a");
    const b = await startBackend(t, "b");
    store.put("configuration", createConfiguration(1));
    registerServer(store, a);
    registerServer(store, b);
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    store.historyLost = true;
    store.remove("servers/a");
    await eventually(() => edge.logs.some(line => line["name"] === "a" && line["change"] === "removed"), "a is gone");
    assert.equal((await call(edge, "/tables/x")).body, "from b");
});

test("metrics count requests by outcome", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    await call(edge, "/tables/x");
    const res = await request(edge.metricsUrl);
    const text = await res.body.text();
    assert.match(text, /galenaglade_requests_total\{[^}]*route="tables"[^}]*outcome="200"[^}]*\} 1/);
    assert.match(text, /http_server_request_duration/);
});

// Guards against callers that are told for good that a route doesn't exist, by a gateway that can't know of those added meanwhile.
test("while the store isn't heard, a route that may have been added meanwhile is asked back for, and not denied", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    assert.equal((await call(edge, "/new/x")).status, 404);
    store.down = true;
    await eventually(async () => (await call(edge, "/new/x")).status === 503, "the absence is in doubt");
    assert.ok(Number((await call(edge, "/new/x")).headers["retry-after"]) > 0);
    store.down = false;
    await eventually(async () => (await call(edge, "/new/x")).status === 404, "the absence is sure again");
});
