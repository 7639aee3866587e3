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
    waitUntilReady,
} from "./support/testEdge.js";

function find(edge: TestEdge, message: string): Readonly<Record<string, unknown>> {
    const line = edge.logs.find(entry => entry["message"] === message);
    assert.ok(line !== undefined, `a line ${message} is logged`);
    return line;
}

test("a finished request is logged with the facts that decided its placement", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(7));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    await call(edge, "/tables/x");
    const line = find(edge, "requestEnded");
    assert.match(String(line["requestId"]), /^r\d+$/);
    assert.deepEqual(
        [line["route"], line["service"], line["version"], line["outcome"], line["servers"], line["sends"]],
        ["tables", "tables", 7, "200", "a", "200"],
    );
    assert.deepEqual([line["usable"], line["asked"], line["offers"], line["placed"]], [1, 1, 1, "good"]);
});

test("a rejected request is logged with its reason, its load probes and the age of the gateway's state", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(7));
    const backend = await startBackend(t, "a");
    backend.load = "3,30,3,4";
    registerServer(store, backend);
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    const got = await call(edge, "/tables/x");
    const line = find(edge, "requestFailed");
    assert.deepEqual([line["kind"], line["detail"], line["status"]], ["overloaded", "allFull", 503]);
    assert.equal(String(line["retryAfterSeconds"]), got.headers["retry-after"]);
    assert.ok(Number(line["asked"]) > 1 && Number(line["offers"]) > 1);
    assert.ok(Number(line["sinceStoreMs"]) < 5_000);
});

test("start, stop and changes of the fleet view are logged", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(7));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    await eventually(() => edge.logs.some(line => line["name"] === "a"), "the server is known");
    await edge.stop();
    for (const message of ["started", "belief", "stopping", "stopped"]) {
        find(edge, message);
    }
});

test("no log line leaks a body, a cookie or an authorization", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(7));
    registerServer(store, await startBackend(t, "a"));
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    await call(edge, "/returns/x?token=secret-query", { method: "POST", body: "secret-body" });
    assert.doesNotMatch(JSON.stringify(edge.logs), /secret/);
});
