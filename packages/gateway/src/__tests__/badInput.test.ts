import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { type CallerServerOptions, createCallerServer } from "@galenaglade/http-parts";
import { sendRawRequest } from "@galenaglade/stand-ins";

const limits: CallerServerOptions = {
    maximumConnections: 20,
    maximumHeaderBytes: 4_096,
    requestTimeoutMs: 300,
    keepAliveMs: 5_000,
};
const didRun = /x-galenaglade-did-run: no/;

interface CallerPort {
    readonly url: string;
    /** Number of requests that were parsed and handled. */
    readonly handled: () => number;
}

/** Starts only the callers' server, with a handler that answers every parsed request. */
async function startCallerServer(t: TestContext, overrides: Partial<CallerServerOptions> = {}): Promise<CallerPort> {
    let handled = 0;
    const server = createCallerServer({ ...limits, ...overrides }, (req, res) => {
        handled++;
        req.resume();
        req.once("end", () => res.end("understood"));
        req.once("error", () => res.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, handled: () => handled };
}

async function isServed(url: string): Promise<boolean> {
    const answer = await request(url);
    return answer.statusCode === 200 && await answer.body.text() === "understood";
}

const malformed: readonly (readonly [string, string, RegExp])[] = [
    ["no HTTP at all", "\u0016\u0003\u0001 hello\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["no host", "GET / HTTP/1.1\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["a header without colon", "GET / HTTP/1.1\r\nhost: a\r\nbroken\r\n\r\n", /^HTTP\/1\.1 400 /],
    ["a negative length", "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n", /^HTTP\/1\.1 400 /],
    [
        "two lengths",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        /^HTTP\/1\.1 400 /,
    ],
    [
        "a length and chunks, by which two requests can be hidden in one",
        "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n",
        /^HTTP\/1\.1 400 /,
    ],
    ["a chunk with no size", "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", /400 |^$/],
    ["headers beyond their limit", `GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(8_192)}\r\n\r\n`, /^HTTP\/1\.1 431 /],
];

// A malformed request gets an error response and its connection is closed, while a concurrent request on another
// connection is served.
for (const [what, bytes, expected] of malformed) {
    test(`${what} is refused with its reason and doesn't affect other callers`, async t => {
        const { url } = await startCallerServer(t);
        const [refusal, served] = await Promise.all([sendRawRequest(url, bytes), isServed(url)]);
        assert.match(refusal.text, expected);
        if (refusal.text !== "") {
            assert.match(refusal.text, didRun);
            assert.match(refusal.text, /application\/problem\+json/);
        }
        assert.ok(served);
        assert.ok(await isServed(url), "the port still serves callers");
    });
}

// A client that doesn't complete its headers would hold its connection indefinitely (slowloris). After the request
// timeout it gets an error response and its connection is closed.
test("a request that is sent too slowly is refused", async t => {
    const { url, handled } = await startCallerServer(t);
    const refusal = await sendRawRequest(url, "GET / HTTP/1.1\r\nhost: a\r\nx-slow: ");
    assert.match(refusal.text, /^HTTP\/1\.1 408 /);
    assert.match(refusal.text, didRun);
    assert.equal(handled(), 0);
});

// Clients open connections up to the limit and hold them. Further connections are refused at once, open ones are still
// served, and new ones are accepted once the others have closed.
test("connections over the limit are refused, and the others served", async t => {
    const { url } = await startCallerServer(t, { maximumConnections: 5, requestTimeoutMs: 60_000 });
    const held: Socket[] = [];
    for (let i = 0; i < 5; i++) {
        const socket = connect(Number(new URL(url).port), "127.0.0.1");
        await once(socket, "connect");
        held.push(socket);
    }
    const over = await sendRawRequest(url, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    assert.match(over.text, /^HTTP\/1\.1 503 /);
    assert.match(over.text, /retry-after: 1/);
    const [first] = held;
    assert.ok(first !== undefined);
    first.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    const [bytes] = await once(first, "data") as [Buffer];
    assert.match(bytes.toString(), /^HTTP\/1\.1 200 /);
    for (const socket of held) {
        socket.destroy();
    }
    while (!await isServed(url).catch(() => false)) {
        await sleep(10);
    }
});

// Malformed bytes arrive on a connection while a response is being sent on it. An error response written at that point
// would become part of the first response's body, so the connection is closed instead.
test("an error response is never written into a response that is being sent", async t => {
    let finish = (): void => undefined;
    const server = createCallerServer(limits, (_req, res) => {
        res.writeHead(200, { "content-length": "10" });
        res.write("12345");
        finish = () => res.end("67890");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => {
        server.close();
        server.closeAllConnections();
    });
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const socket = connect(Number(new URL(url).port), "127.0.0.1");
    let received = "";
    socket.on("data", (chunk: Buffer) => {
        received += chunk.toString();
    });
    let isReset = false;
    socket.on("error", () => {
        isReset = true;
    });
    socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    await once(socket, "data");
    const closed = new Promise(resolve => socket.once("close", resolve));
    socket.write("this is no request\r\n\r\n");
    await closed;
    finish();
    assert.match(received, /\r\n\r\n12345$/);
    assert.equal(isReset, true, "a close would look like the end of a response without a length");
});
