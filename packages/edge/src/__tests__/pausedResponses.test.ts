import { type RawRequest, startRawBackend } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { connect, Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ResponseSink, sendRequest, type SendResult } from "../backends/sendRequest.js";
import { ServerConnection } from "../backends/serverConnection.js";
import { DirectConnector } from "../backends/serverConnector.js";
import { TestMetadataCodec } from "./support/testCodecs.js";
import { call, eventually, renderSignedResponse, startBackend, startEdgeWith } from "./support/testEdge.js";

const declaredBytes = 4_000_000;
const sentBytes = 3_000_000;
const ends = ["closed", "reset"] as const;
const framings = ["content-length", "without a length", "chunked"] as const;
/** Time for which a caller doesn't read, in milliseconds. */
const stalledMs = 2_000;
/** Time in which the end reaches a reader that isn't reading, in milliseconds. */
const unreadMs = 100;

function renderHead(req: RawRequest, framing: typeof framings[number]): string {
    const framed = {
        "content-length": [`content-length: ${declaredBytes}`],
        "without a length": [],
        "chunked": ["transfer-encoding: chunked"],
    };
    const identity = [`x-id: ${req.headers.get("x-id") ?? ""}`, "x-signed: 1", "connection: close"];
    return ["HTTP/1.1 200 OK", ...identity, ...framed[framing], "", ""].join("\r\n");
}

function renderPart(framing: typeof framings[number], bytes: number): string {
    const payload = "x".repeat(bytes);
    return framing === "chunked" ? `${declaredBytes.toString(16)}\r\n${payload}` : payload;
}

/** More than a gateway buffers. */
const piecesBytes = 300_000;
const pieceBytes = 30_000;

/** @returns whether this process has bytes left to write on the connection to this port */
function hasUnsentBytes(port: number): boolean {
    const handles = Reflect.apply(Reflect.get(process, "_getActiveHandles") as () => unknown[], process, []);
    return handles.some(handle => handle instanceof Socket && handle.remotePort === port && handle.writableLength > 0);
}

function endSocket({ socket }: RawRequest, end: typeof ends[number]): void {
    if (end === "closed") {
        socket.end();
        return;
    }
    socket.resetAndDestroy();
}

/** Doesn't take more after its first chunk until it is told to. */
class StoppedSink extends ResponseSink {
    resume: (() => void) | undefined;

    override write(_chunk: Buffer, resume: () => void): boolean {
        this.resume = resume;
        return false;
    }
}

async function sendPaused(t: TestContext, serve: (req: RawRequest) => void): Promise<SendResult> {
    const { port } = await startRawBackend(t, serve);
    const connection = new ServerConnection({ host: "127.0.0.1", port }, new DirectConnector());
    const sink = new StoppedSink();
    const sending = sendRequest({
        connection,
        isFirstRequest: true,
        method: "GET",
        path: "/tables/x",
        headers: ["x-id", "paused"],
        body: undefined,
        idempotent: true,
        requestId: "paused",
        metadataReader: new TestMetadataCodec(),
        maxBufferedBytes: 1,
        mayWrite: () => true,
        onWritten: () => undefined,
        mayLeaveUnread: false,
        openSink: () => sink,
    });
    await eventually(() => sink.resume !== undefined, "the response is paused");
    await sleep(unreadMs);
    const reading = setInterval(() => sink.resume?.(), 1);
    t.after(() => clearInterval(reading));
    const result = await sending.result;
    connection.destroy();
    return result;
}

for (const end of ends) {
    for (const framing of framings) {
        for (const bytes of [2_000, 20_000, sentBytes]) {
            // Guards against an exception that ends the process: the HTTP client asserts that it isn't paused at an end.
            test(`response ${framing}, paused after ${bytes} bytes and ${end}: it isn't whole`, async t => {
                const { end: { type } } = await sendPaused(t, req => {
                    req.socket.write(renderHead(req, framing) + renderPart(framing, bytes));
                    setTimeout(() => endSocket(req, end), 20);
                });
                assert.equal(type, framing === "without a length" && end === "closed" ? "answered" : "unknown");
            });
        }

        // Guards against the same exception in a gateway whose caller stops reading just before a server's end.
        test(`response ${framing} that is ${end} while its caller doesn't read: the gateway serves on`, async t => {
            const stalled: { port?: number | undefined; } = {};
            const backend = await startBackend(t, "a", req => {
                if (req.path !== "/tables/paused") {
                    req.socket.write(renderSignedResponse(req, "served"));
                    return;
                }
                req.socket.setNoDelay(true);
                req.socket.write(renderHead(req, framing) + renderPart(framing, piecesBytes));
                const writing = setInterval(() => {
                    if (stalled.port !== undefined && hasUnsentBytes(stalled.port)) {
                        clearInterval(writing);
                        endSocket(req, end);
                        return;
                    }
                    req.socket.write("x".repeat(pieceBytes));
                }, 2);
                t.after(() => clearInterval(writing));
            });
            const edge = await startEdgeWith(t, backend);
            const caller = connect(Number(new URL(edge.url).port), "127.0.0.1");
            t.after(() => caller.destroy());
            caller.on("error", () => undefined);
            caller.pause();
            const lines = [
                "GET /tables/paused HTTP/1.1",
                "host: survey.example",
                "x-id: paused",
                "x-patience-ms: 9000",
            ];
            caller.write([...lines, "", ""].join("\r\n"));
            await eventually(() => backend.servedRequests().length > 0, "the server gets the request");
            // The gateway's end of the caller's connection has bytes left to write once the caller's buffers are full.
            stalled.port = caller.localPort;
            await sleep(stalledMs);
            caller.resume();
            await new Promise(resolve => caller.once("close", resolve));
            assert.equal((await call(edge, "/tables/next")).body, "served");
        });
    }
}
