import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { createCallerServer, listen } from "../index.js";

const headOfLateBody = "POST / HTTP/1.1\r\nhost: survey.example\r\ncontent-length: 10\r\n\r\nhalf";

/** @returns all that a caller receives whose request stays incomplete */
async function receiveAfterTimeout(t: TestContext, mayRefuse: boolean): Promise<string> {
    const server = createCallerServer({
        maximumConnections: 10,
        maximumHeaderBytes: 16_384,
        requestTimeoutMs: 100,
        keepAliveMs: 1_000,
        mayRefuse: () => mayRefuse,
    }, () => undefined);
    t.after(() => server.close());
    const port = await listen(server, { address: "127.0.0.1", port: 0 });
    const socket = connect(port, "127.0.0.1");
    socket.write(headOfLateBody);
    let received = "";
    for await (const chunk of socket) {
        received += String(chunk);
    }
    return received;
}

test("a request whose body is late gets 408", async t => {
    assert.match(await receiveAfterTimeout(t, true), /^HTTP\/1.1 408 /);
});

// Guards against a streamed request that runs twice: its caller repeats it after 408, although a server has it.
test("a request whose body is late gets no 408 if it may have run", async t => {
    assert.equal(await receiveAfterTimeout(t, false), "");
});
