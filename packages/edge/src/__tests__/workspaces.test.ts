import { type FleetConfiguration } from "@galenaglade/fleet-state";
import { type Workspace } from "@galenaglade/workspaces";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import { MemoryStore } from "./support/memoryStore.js";
import {
    createConfiguration,
    eventually,
    registerServer,
    returns,
    startBackend,
    startEdge,
    tables,
    type TestBackend,
    type TestEdge,
    waitUntilReady,
} from "./support/testEdge.js";

const north: Workspace = { name: "north", keys: ["k-north"] };

function createWorkspaceConfiguration(version: number, workspaces: readonly Workspace[]): FleetConfiguration {
    const open = { ...tables, name: "open", pathPrefix: "/open/", open: true };
    return { ...createConfiguration(version, [tables, returns, open]), workspaces };
}

async function startEdgeWith(t: TestContext, backend: TestBackend): Promise<TestEdge<MemoryStore>> {
    const store = new MemoryStore();
    store.put("configuration", createWorkspaceConfiguration(1, [north]));
    registerServer(store, backend);
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    // From now on, the gateway receives changes as they are written.
    await eventually(() => edge.logs.some(line => line["subject"] === "gateway"), "the gateway has discovered itself");
    return edge;
}

async function sendRequest(
    { url }: TestEdge,
    path: string,
    headers: Readonly<Record<string, string>>,
): Promise<number> {
    const own = { "host": "survey.example", "x-id": path, "x-patience-ms": "8000" };
    const res = await request(url + path, { headers: { ...own, ...headers } });
    await res.body.dump();
    return res.statusCode;
}

// Guards against executing requests without a key, and against forwarding keys or forged workspace names to servers.
test("servers receive a caller's workspace but not its key, and callers without a key are rejected", async t => {
    const backend = await startBackend(t, "i-1");
    const edge = await startEdgeWith(t, backend);
    assert.equal(await sendRequest(edge, "/tables/1", { "x-key": "k-north", "x-workspace": "forged" }), 200);
    assert.equal(await sendRequest(edge, "/tables/2", {}), 401);
    assert.equal(await sendRequest(edge, "/tables/3", { "x-key": "k-other" }), 401);
    assert.equal(await sendRequest(edge, "/open/4", { "x-workspace": "forged" }), 200);
    assert.equal(await sendRequest(edge, "/open/5", { "x-key": "k-north" }), 200);
    const seen = backend.servedRequests().map((
        { path, headers },
    ) => [path, headers.get("x-workspace"), headers.get("x-key")]);
    assert.deepEqual(seen, [
        ["/tables/1", "north", undefined],
        ["/open/4", undefined, undefined],
        ["/open/5", "north", undefined],
    ]);
    assert.equal(/k-north|k-other/.test(JSON.stringify(edge.logs)), false, "no key is logged");
});

// Guards against retrying a request whose key was revoked during its first attempt.
test("a request whose key is revoked in the meantime is not retried", async t => {
    const backend = await startBackend(t, "i-1", req => {
        edge.store.put("configuration", createWorkspaceConfiguration(2, []));
        setTimeout(() => {
            req.socket.write("HTTP/1.1 503 Full\r\ncontent-length: 0\r\nx-not-run: 1\r\n\r\n");
        }, 600);
    });
    const edge = await startEdgeWith(t, backend);
    const status = await sendRequest(edge, "/tables/1", { "x-key": "k-north" });
    await eventually(
        () => edge.logs.some(({ name, change }) => name === "2" && change === "inForce"),
        "the configuration is in force",
    );
    assert.deepEqual([status, backend.servedRequests().length], [401, 1]);
});
