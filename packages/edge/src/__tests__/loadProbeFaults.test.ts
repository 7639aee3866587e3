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

/** Responses of a faulty server to a load probe. With each of them it would be picked if the response were accepted. */
const faultyResponses: Readonly<Record<string, string>> = {
    "garbage": "\u0000\u0001 no answer at all\r\n\r\n",
    "a truncated response": "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\nx-server: faulty\r\nx-load: 0,0,3,1\r\n\r\n",
    "another server's response": whole(["x-server: other", "x-load: 0,0,3,1"]),
    "a response without a server id": whole(["x-load: 0,0,3,1"]),
    "an error status": "HTTP/1.1 500 Failure\r\ncontent-length: 0\r\n\r\n",
    "no byte": "",
};

// One of two servers responds to every load probe with a fault, or never completes its response. Each request must
// reach the other server in time, and the incomplete probe must not stay open forever.
for (const [description, response] of Object.entries(faultyResponses)) {
    test(`no request fails if a server responds to load probes with ${description}`, async t => {
        const store = new MemoryStore();
        store.put("configuration", createConfiguration(1));
        const good = await startBackend(t, "good");
        const raw = await startRawBackend(t, req => req.socket.write(response));
        registerServer(store, good);
        registerServer(store, { ...good, id: "faulty", raw });
        const edge = await startEdge(t, store);
        await waitUntilReady(edge);
        for (let i = 0; i < 6; i++) {
            const got = await call(edge, `/returns/${i}`, { method: "POST" });
            assert.deepEqual([got.status, got.body], [200, "from good"]);
        }
        assert.ok(raw.requests.every(({ path }) => path === "/health"), "only probes were sent to it");
        assert.ok(raw.requests.length > 0, "it was probed");
        await edge.stop();
        assert.equal(edge.logs.at(-1)?.["message"], "stopped");
    });
}
