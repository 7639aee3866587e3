import { startRawBackend } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryStore } from "./support/memoryStore.js";
import {
    call,
    createConfiguration,
    registerServer,
    startBackend,
    startEdge,
    waitUntilReady,
} from "./support/testEdge.js";

const whole = (headers: readonly string[], body = ""): string =>
    ["HTTP/1.1 200 OK", `content-length: ${body.length}`, ...headers, "", body].join("\r\n");

/** What a faulty server gives when it is asked for its load; each would be chosen if it were believed. */
const faultyAnswers: Readonly<Record<string, string>> = {
    "garbage": "\u0000\u0001 no answer at all\r\n\r\n",
    "an answer without its end":
        "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\nx-server: faulty\r\nx-load: 0,0,3,1\r\n\r\n",
    "another server's answer": whole(["x-server: other", "x-load: 0,0,3,1"]),
    "an answer that names nobody": whole(["x-load: 0,0,3,1"]),
    "a failure": "HTTP/1.1 500 Failure\r\ncontent-length: 0\r\n\r\n",
    "nothing": "",
};

// One of two servers answers every question for its load wrongly, or never to the end. Each request must go to the other,
// in time, and the question that has no end must not stay open for ever.
for (const [what, answer] of Object.entries(faultyAnswers)) {
    test(`a server that gives ${what} when asked for its load hurts no request`, async t => {
        const store = new MemoryStore();
        store.put("configuration", createConfiguration(1));
        const good = await startBackend(t, "good");
        const raw = await startRawBackend(t, req => req.socket.write(answer));
        registerServer(store, good);
        registerServer(store, { ...good, id: "faulty", raw });
        const edge = await startEdge(t, store);
        await waitUntilReady(edge);
        for (let i = 0; i < 6; i++) {
            const got = await call(edge, `/returns/${i}`, { method: "POST" });
            assert.deepEqual([got.status, got.body], [200, "from good"]);
        }
        assert.ok(raw.requests.every(({ path }) => path === "/health"), "nothing else was sent to it");
        assert.ok(raw.requests.length > 0, "it was asked");
        await edge.stop();
        assert.equal(edge.logs.at(-1)?.["message"], "stopped");
    });
}
