import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryStore } from "./support/memoryStore.js";
import {
    call,
    createConfiguration,
    eventually,
    registerServer,
    startBackend,
    startEdge,
    type TestEdge,
} from "./support/testEdge.js";

function countHeld({ logs }: TestEdge): number {
    return logs.filter(line => line["message"] === "heldAtStart").length;
}

// Guards against gateways that refuse callers in the half second in which a whole fleet reads the store after a power
// failure.
test("requests that arrive before the first read of the store are held and then served", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const responses = [call(edge, "/tables/x"), call(edge, "/tables/y")];
    await eventually(() => countHeld(edge) === 2, "both requests are held");
    release();
    assert.deepEqual((await Promise.all(responses)).map(({ status }) => status), [200, 200]);
});

// Guards against requests that are held while the store is down.
test("held requests are refused as soon as the first read fails", async t => {
    const store = new MemoryStore();
    store.isDown = true;
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const response = call(edge, "/tables/x");
    await eventually(() => countHeld(edge) === 1, "the request is held");
    release();
    const { status, headers } = await response;
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
});

// Guards against gateways that wait for the whole state of a large fleet before they serve any request.
test("requests are served from a partial read that has all of the operator's keys", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    registerServer(store, await startBackend(t, "b"));
    store.firstPartKeyCount = 2;
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    assert.equal((await call(edge, "/tables/x")).body, "from a");
    release();
    await eventually(
        () => edge.logs.some(line => line["subject"] === "server" && line["name"] === "b"),
        "the rest has been read",
    );
});

test("requests are held after a partial read that lacks some of the operator's keys", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    store.firstPartKeyCount = 1;
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const response = call(edge, "/tables/x");
    await eventually(() => countHeld(edge) === 1, "the request is held");
    release();
    assert.equal((await response).status, 200);
});
