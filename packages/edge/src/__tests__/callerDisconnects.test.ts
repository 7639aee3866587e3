import assert from "node:assert/strict";
import { createServer, connect, type AddressInfo, type Socket } from "node:net";
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
    returns,
    startBackend,
    startEdge,
    startEdgeWith,
    tables,
    type TestBackend,
    type TestEdge,
    waitUntilReady,
} from "./support/testEdge.js";

/** Time after which a send would be too late for a caller that has left, in milliseconds. */
const settledAfterMs = 500;
/** Longer than any test waits, so that nothing ends by itself. */
const timeoutMs = 20_000;
const longBodyBytes = 8_000_000;
const maximumBodyBytes = 67_108_864;

/** Ways in which a caller leaves. */
const ways = {
    "closed": (socket: Socket) => socket.destroy(),
    "reset": (socket: Socket) => socket.resetAndDestroy(),
    "closed for writing": (socket: Socket) => socket.end(),
} as const;

let requests = 0;

function renderHead(path: string, bytes = 0, method = bytes > 0 ? "POST" : "GET"): string {
    const lines = [`${method} ${path} HTTP/1.1`, "host: survey.example", `x-id: gone-${++requests}`];
    return [...lines, `content-length: ${bytes}`, `x-patience-ms: ${timeoutMs}`, "", ""].join("\r\n");
}

async function openCaller({ url }: TestEdge): Promise<Socket> {
    const socket = connect({ port: Number(new URL(url).port), host: "127.0.0.1", noDelay: true });
    socket.on("error", () => undefined);
    socket.resume();
    await new Promise<void>(resolve => socket.once("connect", resolve));
    return socket;
}

/** Counts the requests that a server works on: it never responds, and stops once its connection has closed. */
class Work {
    started = 0;
    readonly atWork = new Set<Socket>();

    begin(socket: Socket): void {
        this.started++;
        this.atWork.add(socket);
        socket.once("close", () => this.atWork.delete(socket));
    }
}

/** A server that reads no bodies until it is told to, and responds to a request once it has read all of it. */
class LateReader {
    readonly id = "late";
    readonly raw: { readonly port: number; };
    readonly work = new Work();
    readonly #sockets: Set<Socket>;

    private constructor(port: number, sockets: Set<Socket>) {
        this.raw = { port };
        this.#sockets = sockets;
    }

    static async start(t: TestContext): Promise<LateReader> {
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            let text = "";
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                text += chunk.toString("latin1");
                const [head = "", ...body] = text.split("\r\n\r\n");
                if (body.length === 0) {
                    return;
                }
                if (head.startsWith("GET /health")) {
                    text = "";
                    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-server: late\r\nx-load: 0,0,9,1\r\n\r\n");
                    return;
                }
                if (!sockets.has(socket)) {
                    sockets.add(socket);
                    reader.work.begin(socket);
                    socket.pause();
                }
                const bytes = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
                const id = /x-id: (\S+)/.exec(head)?.[1] ?? "";
                if (bytes > 0 && text.length === head.length + 4 + bytes) {
                    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-id: ${id}\r\nx-signed: 1\r\n\r\nread`);
                }
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const reader = new LateReader((server.address() as AddressInfo).port, sockets);
        t.after(() => {
            server.close();
            for (const socket of sockets) {
                socket.destroy();
            }
        });
        return reader;
    }

    readOn(): void {
        for (const socket of this.#sockets) {
            socket.resume();
        }
    }
}

/** Starts a gateway in front of a server with nine slots, whose routes wait for longer than any test. */
async function startPath(t: TestContext, server: Parameters<typeof registerServer>[1]): Promise<TestEdge> {
    const store = new MemoryStore();
    const routes = [{ ...tables, objectiveMs: timeoutMs, timeoutMs }, { ...returns, timeoutMs }];
    const configuration = createConfiguration(1, routes);
    store.put("configuration", { ...configuration, limits: { ...configuration.limits, maximumBodyBytes } });
    registerServer(store, server, { slots: 9 });
    const edge = await startEdge(t, store);
    await waitUntilReady(edge);
    return edge;
}

async function startWorkingBackend(t: TestContext): Promise<{ readonly backend: TestBackend; readonly work: Work; }> {
    const work = new Work();
    const backend = await startBackend(t, "a", ({ socket }) => work.begin(socket));
    backend.load = "0,0,9,1";
    return { backend, work };
}

async function readMetric({ metricsUrl }: TestEdge, name: string): Promise<number> {
    const text = await (await request(metricsUrl)).body.text();
    return text.split("\n").filter(line => line.startsWith(name) && !line.startsWith("#"))
        .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" ") + 1)), 0);
}

/** Waits until a server works on nothing. The requests themselves end much later. */
async function assertFreed(work: Work, description: string): Promise<void> {
    await eventually(() => work.atWork.size === 0, `the server has no ${description}`);
}

for (const [name, leave] of Object.entries(ways)) {
    for (const count of [1, 3, 16]) {
        // Guards against a disconnect that reaches only the request whose response is due first.
        test(`servers are freed of all ${count} requests of a connection that is ${name}`, async t => {
            const { backend, work } = await startWorkingBackend(t);
            const edge = await startPath(t, backend);
            const caller = await openCaller(edge);
            caller.write(Array.from({ length: count }, (_, i) => renderHead(`/tables/${i}`)).join(""));
            await eventually(() => work.started >= Math.min(count, 3), "the requests reach the server");
            await sleep(100);
            leave(caller);
            await assertFreed(work, "requests that are still at work");
            const { started } = work;
            await sleep(settledAfterMs);
            assert.equal(work.started, started, "nothing is sent later");
            assert.equal(await readMetric(edge, "galenaglade_sends_after_disconnect"), 0);
        });
    }

    for (const first of ["", renderHead("/tables/short")]) {
        const position = first === "" ? "alone" : "behind a short request";
        // Guards against an end that isn't read: it lies behind a body that its server doesn't read.
        test(`servers are freed although a body is held up (${position}, connection ${name})`, async t => {
            const reader = await LateReader.start(t);
            const edge = await startPath(t, reader);
            const caller = await openCaller(edge);
            caller.write(first + renderHead("/tables/long", longBodyBytes));
            const written = new Promise<void>(resolve =>
                caller.write(Buffer.alloc(longBodyBytes, "y"), () => resolve())
            );
            await eventually(() => reader.work.started >= (first === "" ? 1 : 2), "the requests reach the server");
            await written;
            leave(caller);
            await eventually(
                () => edge.logs.some(({ message }) => message === "callerLeftSettled"),
                "the sends have ended",
            );
            reader.readOn();
            await assertFreed(reader.work, "connections of requests whose caller has left");
        });
    }
}

test("the log has a line for a connection that ends with requests on it, and one when their sends have ended", async t => {
    const { backend, work } = await startWorkingBackend(t);
    const edge = await startPath(t, backend);
    const caller = await openCaller(edge);
    caller.write(renderHead("/tables/1") + renderHead("/tables/2"));
    await eventually(() => work.started === 2, "the requests reach the server");
    const ids = backend.servedRequests().map(({ headers }) => headers.get("x-id"));
    caller.destroy();
    await eventually(() => edge.logs.some(({ message }) => message === "callerLeftSettled"), "the sends have ended");
    const [left, settled] = ["callerLeft", "callerLeftSettled"].map(event =>
        edge.logs.find(({ message }) => message === event)
    );
    const requests = ids.map(id => `${id}:atServer`).join(",");
    assert.deepEqual([left?.["cause"], left?.["count"], left?.["sends"], left?.["requests"]], [
        "closed",
        2,
        2,
        requests,
    ]);
    assert.deepEqual([settled?.["requests"], settled?.["isCancelled"]], [requests, true]);
});

// Guards against a connection that isn't read any more because too much waits for its turn on it.
test("servers are freed although a large response waits behind another one", async t => {
    const work = new Work();
    const backend = await startBackend(t, "a", req => {
        if (req.path === "/tables/ready") {
            req.socket.write(renderSignedResponse(req, "x".repeat(200_000)));
            return;
        }
        work.begin(req.socket);
    });
    backend.load = "0,0,9,1";
    const edge = await startPath(t, backend);
    const caller = await openCaller(edge);
    caller.write(renderHead("/tables/1") + renderHead("/tables/ready"));
    await eventually(() => edge.logs.some(line => line["outcome"] === "200"), "the second response has arrived");
    caller.write(renderHead("/tables/3"));
    await eventually(() => work.started === 2, "the third request reaches the server");
    caller.destroy();
    await assertFreed(work, "requests of the caller");
});

test("a body that its server reads late arrives whole", async t => {
    const reader = await LateReader.start(t);
    const edge = await startPath(t, reader);
    const response = call(edge, "/returns/x", { method: "POST", body: "y".repeat(longBodyBytes) });
    await eventually(() => reader.work.started === 1, "the request reaches the server");
    await sleep(settledAfterMs);
    reader.readOn();
    const { status, body } = await response;
    assert.deepEqual([status, body], [200, "read"]);
});

for (const path of ["/tables/x", "/returns/x"]) {
    // Guards against a send for a caller whose end has arrived with its request and isn't read yet.
    test(`a request whose caller has left before it is read isn't sent (${path})`, async t => {
        const backend = await startBackend(t, "a");
        backend.load = "0,0,9,1";
        const edge = await startEdgeWith(t, backend);
        for (let i = 0; i < 20; i++) {
            // The server's load is known, so that the next request needs no probe.
            await call(edge, "/tables/known");
            const caller = await openCaller(edge);
            caller.write(renderHead(path, 0, path === "/tables/x" ? "GET" : "POST"));
            caller.destroy();
        }
        await sleep(100);
        assert.deepEqual(backend.servedRequests().filter(req => req.path === path), []);
        assert.equal(edge.logs.filter(({ message }) => message === "callerLeft").length, 20);
    });
}

// Guards against a send for a caller that left while its pipelined requests were held.
test("requests that are held at the start aren't sent once their caller has left", async t => {
    const { backend, work } = await startWorkingBackend(t);
    const store = new MemoryStore();
    const release = store.holdCalls();
    const edge = await startEdge(t, store);
    const caller = await openCaller(edge);
    caller.write(renderHead("/tables/1") + renderHead("/tables/2") + renderHead("/tables/3"));
    await eventually(() => edge.logs.filter(({ message }) => message === "heldAtStart").length === 3, "all are held");
    caller.destroy();
    await sleep(50);
    store.put("configuration", createConfiguration(1));
    registerServer(store, backend, { slots: 9 });
    release();
    await waitUntilReady(edge);
    await sleep(settledAfterMs);
    assert.equal(work.started, 0);
});

// Guards against a planned stop that waits for responses which nobody can get any more.
test("a planned stop doesn't wait for requests whose caller has left", async t => {
    const { backend, work } = await startWorkingBackend(t);
    const edge = await startPath(t, backend);
    const caller = await openCaller(edge);
    caller.write(renderHead("/tables/1") + renderHead("/tables/2"));
    await eventually(() => work.started === 2, "the requests reach the server");
    caller.destroy();
    await assertFreed(work, "requests that are still at work");
    await edge.stop();
    const stopped = edge.logs.find(({ message }) => message === "stopped");
    assert.equal(stopped?.["unanswered"], 0);
});
