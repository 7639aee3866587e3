import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { Agent, request } from "undici";
import { backendResponseSchema, backendHeaders, computeDigest } from "../backendServer/backendResponse.js";
import { BackendServer, type BackendServerOptions } from "../backendServer/backendServer.js";
import { MemoryHistoryRecorder } from "../recording/historyRecorder.js";

const stops: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const stop of stops.splice(0).reverse()) {
        await stop();
    }
});

async function startServer(options: Partial<BackendServerOptions> = {}): Promise<BackendServer> {
    const server = await BackendServer.start({ name: "catalog-1", availabilityZone: "zone-a", ...options });
    stops.push(() => server.stop());
    return server;
}

function createAgent(connections = 10): Agent {
    const agent = new Agent({ pipelining: 1, connections });
    stops.push(() => agent.destroy());
    return agent;
}

interface Sending {
    readonly id?: string;
    readonly workMs?: number;
    readonly deadlineMs?: number;
    readonly signal?: AbortSignal;
}

function send(server: BackendServer, agent: Agent, { id = "r1", workMs = 0, deadlineMs, signal }: Sending = {}) {
    const deadline = deadlineMs === undefined ? {} : { [backendHeaders.deadlineMs]: String(deadlineMs) };
    return request(`${server.url}/stones`, {
        method: "POST",
        dispatcher: agent,
        headers: { [backendHeaders.requestId]: id, [backendHeaders.workMs]: String(workMs), ...deadline },
        body: "two carats",
        signal,
    });
}

/** Polls until a condition holds; fails after 20 seconds. */
async function waitUntil(holds: () => boolean): Promise<void> {
    const limitMs = performance.now() + 20_000;
    while (!holds()) {
        assert.ok(performance.now() < limitMs, "the condition did not become true in time");
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}

test("a response has its request's id, body digests and the server's state", async () => {
    const server = await startServer();
    const res = await send(server, createAgent());
    const text = await res.body.text();
    const responseBody = backendResponseSchema.parse(JSON.parse(text));
    assert.equal(responseBody.requestId, "r1");
    assert.equal(responseBody.requestDigest, computeDigest("two carats"));
    assert.equal(res.headers[backendHeaders.bodyDigest], computeDigest(text));
    assert.equal(res.headers[backendHeaders.state], "warm");
    assert.equal(res.headers[backendHeaders.inFlight], "0");
    assert.equal(res.headers[backendHeaders.bears], "3");
});

test("a request beyond the queue limit is shed before it runs, with metadata that says so", async () => {
    const history = new MemoryHistoryRecorder("catalog-1");
    const server = await startServer({ capacity: { slots: 1, queueLimit: 0 }, history });
    const agent = createAgent();
    const first = send(server, agent, { id: "first", workMs: 60_000 });
    first.catch(() => undefined);
    await waitUntil(() => server.load.inFlight === 1);
    const second = await send(server, agent, { id: "second" });
    assert.equal(second.statusCode, 503);
    assert.equal(second.headers[backendHeaders.didRun], "no");
    await second.body.dump();
    assert.deepEqual(history.lines.map(line => "requestId" in line ? line.requestId : line.type), ["first"]);
});

test("a caller that disconnects frees its slot", async () => {
    const server = await startServer({ capacity: { slots: 1 } });
    const agent = createAgent();
    const controller = new AbortController();
    const cancelledRequest = send(server, agent, { workMs: 60_000, signal: controller.signal });
    cancelledRequest.catch(() => undefined);
    await waitUntil(() => server.load.inFlight === 1);
    controller.abort();
    const next = await send(server, agent, { id: "next" });
    assert.equal(next.statusCode, 200);
    assert.equal(server.counters.cancelled, 1);
});

test("work is stopped at its deadline, and a queued request past its deadline never runs", async () => {
    const server = await startServer({ capacity: { slots: 1 } });
    const agent = createAgent();
    const running = send(server, agent, { workMs: 60_000, deadlineMs: 1_000 });
    await waitUntil(() => server.load.inFlight === 1);
    const waiting = await send(server, agent, { id: "waiting", deadlineMs: 50 });
    assert.equal(waiting.statusCode, 503);
    assert.equal(waiting.headers[backendHeaders.didRun], "no");
    assert.equal((await running).statusCode, 504);
    assert.equal(server.counters.started, 1);
});

test("a cold server that gets two concurrent requests is overloaded and records it", async () => {
    // A server has just started and can handle one request; a gateway that considers it warm sends two. The second one
    // and all that follow must get a delayed error, and the warm-up starts over.
    const history = new MemoryHistoryRecorder("catalog-1");
    const server = await startServer({ startsCold: true, history });
    const agent = createAgent();
    const responses = await Promise.all([send(server, agent, { workMs: 500 }), send(server, agent, { workMs: 500 })]);
    assert.deepEqual(responses.map(res => res.statusCode).sort(), [200, 500]);
    assert.equal(server.counters.coldOverloads, 1);
    const overloads = history.lines.filter(line => line.type === "serverStarted" && line.cold && line.inFlight > 1);
    assert.equal(overloads.length, 1);
});

test("a truncated response ends one byte short", async () => {
    const server = await startServer();
    server.setFaults({ truncateAnswers: 1 });
    const res = await send(server, createAgent());
    await assert.rejects(res.body.text());
});

test("a connection closed on read counts no started request, one closed after the run does", async () => {
    const server = await startServer();
    server.setFaults({ closeOnRead: 1 });
    await assert.rejects(send(server, createAgent()));
    assert.equal(server.counters.started, 0);
    server.setFaults({ closeAfterRun: 1 });
    await assert.rejects(send(server, createAgent()));
    assert.equal(server.counters.started, 1);
});

test("open connections become unresponsive while new ones work", async () => {
    const server = await startServer();
    const agent = createAgent(1);
    await (await send(server, agent)).body.dump();
    server.setFaults({ silent: "openConnections" });
    await assert.rejects(send(server, agent, { signal: AbortSignal.timeout(300) }));
    assert.equal((await send(server, createAgent())).statusCode, 200);
});

test("faults can falsify the load report, and turn the server cold without a new incarnation", async () => {
    const server = await startServer();
    const agent = createAgent();
    send(server, agent, { workMs: 60_000 }).catch(() => undefined);
    await waitUntil(() => server.load.inFlight === 1);
    const readLoad = async () => (await request(`${server.url}/load`, { dispatcher: agent })).body.json();
    const { incarnation } = server.load;
    assert.deepEqual(await readLoad(), { state: "warm", inFlight: 1, bears: 3, incarnation });
    server.setFaults({ loadReport: "zero", turnCold: "unannounced" });
    assert.deepEqual(await readLoad(), { state: "cold", inFlight: 0, bears: 1, incarnation });
    server.setFaults({ turnCold: "restarted" });
    assert.notEqual(server.load.incarnation, incarnation);
});

test("a restart closes the connections of requests in flight, and the next response reports it", async () => {
    const server = await startServer();
    const agent = createAgent();
    const running = send(server, agent, { workMs: 60_000 });
    const cut = assert.rejects(running);
    await waitUntil(() => server.load.inFlight === 1);
    const before = server.load.incarnation;
    const res = await request(`${server.url}/faults`, {
        method: "PUT",
        body: JSON.stringify({ turnCold: "restarted" }),
    });
    assert.equal(res.statusCode, 200);
    await res.body.dump();
    await cut;
    await waitUntil(() => server.load.inFlight === 0);
    const next = await send(server, agent);
    assert.equal(next.headers[backendHeaders.state], "cold");
    assert.notEqual(next.headers[backendHeaders.incarnation], before);
});

test("a draining server completes requests in flight and reports that it is leaving", async () => {
    const server = await startServer();
    const agent = createAgent();
    const running = send(server, agent, { workMs: 200 });
    await waitUntil(() => server.load.inFlight === 1);
    const drained = server.drain(0);
    const res = await running;
    assert.equal(res.statusCode, 200);
    assert.equal(res.headers[backendHeaders.state], "leaving");
    await res.body.dump();
    await drained;
    await assert.rejects(send(server, agent));
});
