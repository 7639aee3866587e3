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

test("before the configuration is read, requests are refused at once and the readiness check fails", async t => {
    const store = new MemoryStore();
    store.isDown = true;
    const edge = await startEdge(t, store);
    const got = await call(edge, "/tables/x");
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers["retry-after"]) > 0);
    const readiness = await request(edge.readinessUrl);
    await readiness.body.dump();
    assert.equal(readiness.statusCode, 503);

    store.isDown = false;
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    await waitUntilReady(edge);
    assert.equal((await call(edge, "/tables/x")).status, 200);
});

test("a new configuration applies to new requests, and an older version never replaces it", async t => {
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
        "the change after the older version is known",
    );
    assert.equal((await call(edge, "/tables/x")).status, 404);
});

test("a draining server, and one in an evacuated availability zone, get no more requests", async t => {
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
        "the zone is out",
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

test("requests are served from the last known state while the store is down", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    store.isDown = true;
    registerServer(store, await startBackend(t, "b"));
    await eventually(() => edge.logs.some(line => line["message"] === "storeLost"), "the loss is logged");
    assert.equal((await call(edge, "/tables/x")).status, 200);
    store.isDown = false;
    await eventually(() => edge.logs.some(line => line["message"] === "storeRegained"), "the return is logged");
});

// Guards against a gateway that resumes its watch after the store compacted the history in between: it would never
// learn of a server that left in the gap.
test("the whole state is read again if the store has compacted its history", async t => {
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
    await eventually(
        () => edge.logs.some(line => line["name"] === "a" && line["change"] === "removed"),
        "server a is removed",
    );
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

// Guards against a permanent error for a route that was added while the gateway had no contact with the store.
test("without contact with the store, an unknown route gets a 503 with Retry-After instead of a 404", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    assert.equal((await call(edge, "/new/x")).status, 404);
    store.isDown = true;
    await eventually(async () => (await call(edge, "/new/x")).status === 503, "the unknown route gets a 503");
    assert.ok(Number((await call(edge, "/new/x")).headers["retry-after"]) > 0);
    store.isDown = false;
    await eventually(async () => (await call(edge, "/new/x")).status === 404, "the unknown route gets a 404 again");
});
