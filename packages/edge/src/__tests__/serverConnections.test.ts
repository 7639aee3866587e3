import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerConnectionPool } from "../backends/serverConnectionPool.js";
import { recentProbeMs, maxIdleConnectionsPerServer, minQuietMs } from "../constants.js";
import { call, eventually, renderSignedResponse, startBackend, startEdgeWith } from "./support/testEdge.js";

const address = { host: "127.0.0.1", port: 1 };

test("a non-idempotent request uses an idle connection only if a load probe on it was answered just before", () => {
    const connections = new ServerConnectionPool();
    const probed = connections.acquire("a", address);
    connections.release("a", probed, { after: "question", nowMs: 1_000 });
    assert.notEqual(connections.acquireQuiet("a", address, 1_000 + recentProbeMs + 1), probed);
    assert.equal(connections.acquireQuiet("a", address, 1_000 + recentProbeMs), probed);
    connections.close();
});

test("a non-idempotent request isn't sent soon after another request on a connection, even if just probed", () => {
    const connections = new ServerConnectionPool();
    const used = connections.acquire("a", address);
    connections.release("a", used, { after: "request", nowMs: 1_000 });
    assert.equal(connections.acquire("a", address), used);
    connections.release("a", used, { after: "question", nowMs: 1_010 });
    assert.notEqual(connections.acquireQuiet("a", address, 1_020), used);
    assert.equal(connections.acquire("a", address), used);
    connections.release("a", used, { after: "question", nowMs: 1_000 + minQuietMs });
    assert.equal(connections.acquireQuiet("a", address, 1_000 + minQuietMs), used);
    assert.equal(connections.isFirstRequest(used), false);
    connections.close();
});

test("the number of idle connections is limited, and those to a previous address of the server are closed", () => {
    const connections = new ServerConnectionPool();
    const opened = Array.from({ length: maxIdleConnectionsPerServer + 2 }, () => connections.open(address));
    for (const connection of opened) {
        connections.release("a", connection, { after: "question", nowMs: 0 });
    }
    assert.equal(opened.filter(({ destroyed }) => destroyed).length, 2);
    assert.ok(!opened.includes(connections.acquire("a", { host: "127.0.0.1", port: 2 })));
    assert.ok(opened.every(({ destroyed }) => destroyed));
    connections.close();
});

test("a non-idempotent request uses the connection on which its server has just answered a load probe", async t => {
    const backend = await startBackend(t, "a");
    const edge = await startEdgeWith(t, backend);
    assert.equal((await call(edge, "/returns/x", { method: "POST" })).status, 200);
    const [probe, sent] = backend.raw.requests;
    assert.equal(probe?.path, "/health");
    assert.equal(sent?.connection, probe.connection);
});

// A server responds to a request twice, the second time 30 ms late. Guards against sending the next request on that
// connection: the late response would replace its own, and it would be unknown whether the request was executed.
test("a late second response doesn't replace the response to a later request", async t => {
    const backend = await startBackend(t, "a", req => {
        req.socket.write(renderSignedResponse(req, "once"));
        setTimeout(() => req.socket.write(renderSignedResponse(req, "late")), 30);
    });
    const edge = await startEdgeWith(t, backend);
    for (let i = 0; i < 12; i++) {
        const response = await call(edge, `/returns/${i}`, { method: "POST" });
        assert.deepEqual([response.status, response.body], [200, "once"]);
    }
});

// A server's response carries the id of another request. Guards against reusing the connection, on which each later
// request would receive the response to the previous one.
test("a connection that received the response to another request is not reused", async t => {
    let badConnection: number | undefined;
    const backend = await startBackend(t, "a", req => {
        const isFirst = badConnection === undefined;
        badConnection ??= req.connection;
        const headers = isFirst ? new Map([...req.headers, ["x-id", "another"]]) : req.headers;
        req.socket.write(renderSignedResponse({ ...req, headers }, "answer"));
    });
    const edge = await startEdgeWith(t, backend);
    assert.equal((await call(edge, "/returns/x", { method: "POST" })).status, 502);
    await eventually(
        async () => (await call(edge, "/returns/y", { method: "POST" })).status === 200,
        "the request is served",
    );
    assert.equal(backend.raw.requests.filter(({ connection }) => connection === badConnection).length, 2);
});
