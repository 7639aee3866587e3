import assert from "node:assert/strict";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createCallerServer, listen, resetCallerConnection } from "../index.js";

/** More than the operating system takes at once. */
const largeBytes = 8_000_000;
/** Time for what a test waits to see happen not at all, in milliseconds. */
const quietMs = 200;

/** A caller's connection to a server, with the requests that have reached it. */
class TestCaller {
    readonly requests: { readonly req: IncomingMessage; readonly res: ServerResponse; }[] = [];
    readonly socket: Socket;
    text = "";
    /** Resolves once the caller's connection has closed; with whether it was reset. */
    readonly closed: Promise<{ readonly reset: boolean; }>;
    /** Resolves once the server has closed the connection. */
    readonly serverClosed: Promise<void>;

    private constructor(port: number, serverClosed: Promise<void>) {
        this.serverClosed = serverClosed;
        this.socket = connect({ port, host: "127.0.0.1", noDelay: true, allowHalfOpen: true });
        this.socket.on("data", chunk => {
            this.text += chunk.toString("latin1");
        });
        let reset = false;
        this.socket.on("error", () => {
            reset = true;
        });
        this.socket.on("end", () => this.socket.end());
        this.closed = new Promise(resolve => this.socket.once("close", () => resolve({ reset })));
    }

    static async connect(t: TestContext): Promise<TestCaller> {
        const server = createCallerServer({
            maximumConnections: 10,
            maximumHeaderBytes: 16_384,
            requestTimeoutMs: 5_000,
            keepAliveMs: 20_000,
        }, (req, res) => caller.requests.push({ req, res }));
        const serverClosed = new Promise<void>(resolve => {
            server.on("connection", (socket: Socket) => socket.once("close", () => resolve()));
        });
        const port = await listen(server, { address: "127.0.0.1", port: 0 });
        const caller = new TestCaller(port, serverClosed);
        t.after(() => {
            caller.socket.destroy();
            server.close();
        });
        return caller;
    }

    /** Sends requests in one write. @returns their responses, once all requests have arrived */
    async send(count: number, version = "HTTP/1.1"): Promise<readonly ServerResponse[]> {
        this.socket.write(`GET / ${version}\r\nhost: survey.example\r\n\r\n`.repeat(count));
        while (this.requests.length < count) {
            await sleep(5);
        }
        return this.requests.map(({ res }) => res);
    }

    async receive(text: string): Promise<void> {
        while (!this.text.includes(text)) {
            await sleep(5);
        }
    }
}

// Guards against a part without a length that looks whole to a caller that has closed its side.
for (const version of ["HTTP/1.1", "HTTP/1.0"]) {
    test(`a caller that closes its side within a response gets a reset (${version})`, async t => {
        const caller = await TestCaller.connect(t);
        const [res] = await caller.send(1, version);
        res?.write("part");
        await caller.receive("part");
        caller.socket.end();
        assert.deepEqual(await caller.closed, { reset: true });
        await caller.serverClosed;
    });
}

// Guards against looking at the latest request only: its response isn't the one that is being written.
test("a caller that closes its side within a response in front of others gets a reset", async t => {
    const caller = await TestCaller.connect(t);
    const [first, second, third] = await caller.send(3);
    third?.end("third");
    second?.writeHead(200);
    first?.write("part");
    await caller.receive("part");
    caller.socket.end();
    assert.deepEqual(await caller.closed, { reset: true });
    await caller.serverClosed;
});

test("a response that has ended and isn't sent yet reaches a caller that closes its side, also in front of others", async t => {
    for (const count of [1, 3]) {
        const caller = await TestCaller.connect(t);
        const [first, second] = await caller.send(count);
        caller.socket.pause();
        first?.writeHead(200, { "content-length": largeBytes }).end(Buffer.alloc(largeBytes, "x"));
        second?.write("part");
        caller.socket.end();
        await sleep(quietMs);
        caller.socket.resume();
        assert.deepEqual(await caller.closed, { reset: false });
        assert.equal(
            caller.text.indexOf("\r\n\r\n") + 4 + largeBytes,
            caller.text.length,
            "whole, and nothing behind it",
        );
        await caller.serverClosed;
    }
});

// As Node's HTTP server ends them.
for (const count of [0, 1, 3]) {
    test(`a caller that closes its side with ${count} requests without an answer gets a normal end`, async t => {
        const caller = await TestCaller.connect(t);
        await caller.send(count);
        await sleep(quietMs);
        caller.socket.end();
        assert.deepEqual(await caller.closed, { reset: false });
        assert.equal(caller.text, "");
        await caller.serverClosed;
    });
}

test("an idle connection that its caller closes behind a response ends normally", async t => {
    const caller = await TestCaller.connect(t);
    const [res] = await caller.send(1);
    res?.end("whole");
    await caller.receive("whole");
    caller.socket.end();
    assert.deepEqual(await caller.closed, { reset: false });
    await caller.serverClosed;
});

// Guards against a connection that stays open for good.
test("a response that is given up while its connection is ending closes it", async t => {
    const caller = await TestCaller.connect(t);
    const [res] = await caller.send(1);
    res?.socket?.once("end", () => {
        if (res.socket !== null) {
            res.socket.end();
        }
        resetCallerConnection(res);
    });
    caller.socket.end();
    await caller.closed;
    await caller.serverClosed;
});

// Guards against an error response in the middle of the response to an earlier request.
test("a malformed request behind others resets the connection on which the first response has begun", async t => {
    const caller = await TestCaller.connect(t);
    const [first] = await caller.send(2);
    first?.write("part");
    await caller.receive("part");
    caller.socket.write("not HTTP\r\n\r\n");
    assert.deepEqual(await caller.closed, { reset: true });
    assert.doesNotMatch(caller.text, /400/);
    await caller.serverClosed;
});
