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

// Guards against hosts that refuse callers in the half second in which a whole fleet reads the store after a power cut.
test("requests that come before the first reading are held for it and served", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const answers = [call(edge, "/tables/x"), call(edge, "/tables/y")];
    await eventually(() => countHeld(edge) === 2, "both are held");
    release();
    assert.deepEqual((await Promise.all(answers)).map(({ status }) => status), [200, 200]);
});

// Guards against requests that are held for a store that is away.
test("a reading that fails refuses what was held for it at once", async t => {
    const store = new MemoryStore();
    store.down = true;
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const answer = call(edge, "/tables/x");
    await eventually(() => countHeld(edge) === 1, "it is held");
    release();
    const { status, headers } = await answer;
    assert.equal(status, 503);
    assert.ok(Number(headers["retry-after"]) > 0);
});

// Guards against hosts that wait for the whole state of a large fleet before they serve anybody.
test("a part of the first reading that has all the operator's keys is served by", async t => {
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
        "the rest is known",
    );
});

test("a part that lacks some of the operator's keys is not", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    registerServer(store, await startBackend(t, "a"));
    store.firstPartKeyCount = 1;
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const answer = call(edge, "/tables/x");
    await eventually(() => countHeld(edge) === 1, "it is held");
    release();
    assert.equal((await answer).status, 200);
});
