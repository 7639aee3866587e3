import assert from "node:assert/strict";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
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
