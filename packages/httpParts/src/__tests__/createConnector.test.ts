import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Socket } from "node:net";
import { test } from "node:test";
import { Client } from "undici";
import { createConnector } from "../outgoing/createConnector.js";

// Guards against responses that are cut off behind the response to a HEAD request, whose length no payload follows.
test("responses to requests behind a HEAD request are read whole", async t => {
    const bodyBytes = 200_000;
    const server = createServer((req, res) => {
        res.writeHead(200, { "content-length": bodyBytes });
        res.end(req.method === "HEAD" ? undefined : Buffer.alloc(bodyBytes, "x"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const client = new Client(`http://127.0.0.1:${port}`, { connect: createConnector({ timeoutMs: 1_000 }) });
    t.after(async () => {
        await client.destroy();
        server.close();
    });
    for (const method of ["HEAD", "GET", "HEAD", "HEAD", "GET", "GET"] as const) {
        const { statusCode, body } = await client.request({ method, path: "/" });
        const read = await body.arrayBuffer();
        assert.deepEqual([statusCode, read.byteLength], [200, method === "HEAD" ? 0 : bodyBytes]);
    }
});

// Guards against a process that ends because a server resets a connection that isn't in use yet.
test("a connection that is reset before the client uses it doesn't end the process", async t => {
    const server = createTcpServer();
    const accepted = once(server, "connection");
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.after(() => server.close());
    const { port } = server.address() as AddressInfo;
    const connect = createConnector({ timeoutMs: 1_000 });
    const target = { hostname: "127.0.0.1", port: String(port), protocol: "http:" };
    const socket = await new Promise<Socket>((resolve, reject) => {
        connect(target, (...[err, opened]) => {
            if (opened === null) {
                reject(err);
                return;
            }
            resolve(opened);
        });
    });
    const [other] = await accepted as Socket[];
    other?.resetAndDestroy();
    await new Promise(resolve => socket.once("close", resolve));
});
