import assert from "node:assert/strict";
import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import { call, startBackend, startEdgeWith, type TestEdge } from "./support/testEdge.js";

/** Bytes that one connection may bring before it is closed, what is in the system's buffers included. */
const maxBytesPerConnection = 8_000_000;
const pieceBytes = 65_536;

const head = "GET /tables/x HTTP/1.1\r\nhost: survey.example\r\n";
const chunkedHead = "POST /returns/x HTTP/1.1\r\nhost: survey.example\r\ntransfer-encoding: chunked\r\n\r\n";

const endlessRequests: Readonly<Record<string, { readonly beginning: string; readonly piece: string; }>> = {
    "request line": { beginning: "GET /", piece: "path" },
    "header lines": { beginning: head, piece: "a: b\r\n" },
    "header line": { beginning: `${head}a: `, piece: "b" },
    "empty lines": { beginning: "", piece: "\r\n" },
    "garbage": { beginning: "", piece: "\u0001\u0002" },
    "chunk size": { beginning: chunkedHead, piece: "0" },
    "chunk extension": { beginning: `${chunkedHead}5;`, piece: "name=value;" },
    "trailers": { beginning: `${chunkedHead}2\r\nok\r\n0\r\n`, piece: "a: b\r\n" },
    "body in chunks": { beginning: chunkedHead, piece: `400\r\n${"x".repeat(1_024)}\r\n` },
    "bytes behind a request that closes the connection": {
        beginning: `${head}connection: close\r\n\r\n`,
        piece: "more",
    },
};

/** Sends without an end. @returns the number of bytes sent until the other side closed the connection */
async function sendUntilClosed(t: TestContext, { url }: TestEdge, beginning: string, piece: string): Promise<number> {
    const socket = connect({ host: "127.0.0.1", port: Number(new URL(url).port), allowHalfOpen: false });
    t.after(() => socket.destroy());
    let sent = beginning.length;
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(beginning, "latin1");
    const bytes = Buffer.from(piece.repeat(Math.ceil(pieceBytes / piece.length)), "latin1");
    const timer = setInterval(() => {
        sent += bytes.length;
        socket.write(bytes);
    }, 5);
    t.after(() => clearInterval(timer));
    await new Promise(resolve => socket.once("close", resolve));
    clearInterval(timer);
    return sent;
}

for (const [name, { beginning, piece }] of Object.entries(endlessRequests)) {
    // Guards against a caller that takes memory and processor time from the others for as long as it sends.
    test(`${name} without an end from a caller: its connection is closed, and other callers are served`, async t => {
        const backend = await startBackend(t, "a");
        const edge = await startEdgeWith(t, backend);
        const closed = sendUntilClosed(t, edge, beginning, piece);
        assert.equal((await call(edge, "/tables/other")).status, 200);
        const sent = await closed;
        assert.ok(sent <= maxBytesPerConnection, `${sent} bytes`);
        assert.equal((await call(edge, "/tables/after")).status, 200);
        assert.ok(backend.servedRequests().every(({ path }) => path !== "/returns/x"), "no part of it was sent on");
    });
}
