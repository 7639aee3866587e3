import { type RawRequest, startRawBackend } from "@galenaglade/stand-ins";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { ResponseSink, sendRequest, type SendResult } from "../backends/sendRequest.js";
import { ServerConnection } from "../backends/serverConnection.js";
import { DirectConnector } from "../backends/serverConnector.js";
import { playBytes, type ServerPlay, steadyPlays, stutteringPlays, wholeBody } from "./support/serverPlays.js";
import { TestMetadataCodec } from "./support/testCodecs.js";

const seed = 65;
const runs = 1_500;
/** Larger bodies are streamed. */
const maxBufferedBytes = 2_000;
/** How often it is checked whether all was sent, after which a send without a result is given up, in milliseconds. */
const checkEveryMs = 10;

class CollectingSink extends ResponseSink {
    readonly chunks: Buffer[] = [];

    override write(chunk: Buffer): boolean {
        this.chunks.push(chunk);
        return true;
    }
}

interface Sent {
    readonly result: SendResult;
    readonly body: string;
}

/** Sends one request on a connection of its own. */
async function send(port: number, method: string, requestId: string, hasEnded: () => boolean): Promise<Sent> {
    const connection = new ServerConnection({ host: "127.0.0.1", port }, new DirectConnector());
    const sink = new CollectingSink();
    const sending = sendRequest({
        connection,
        isFirstRequest: true,
        method,
        path: "/tables/x",
        headers: ["x-id", requestId],
        body: undefined,
        idempotent: true,
        requestId,
        metadataReader: new TestMetadataCodec(),
        maxBufferedBytes,
        mayWrite: () => true,
        onWritten: () => undefined,
        mayLeaveUnread: false,
        openSink: () => sink,
    });
    const timer = setInterval(() => {
        if (hasEnded()) {
            sending.abandon();
        }
    }, checkEveryMs);
    const result = await sending.result;
    clearInterval(timer);
    connection.destroy();
    const body = result.streamed ? Buffer.concat(sink.chunks) : result.response?.body ?? Buffer.alloc(0);
    return { result, body: body.toString("latin1") };
}

/** Asks a server that plays what is drawn: whatever counts as answered must be whole. @returns how many do */
async function checkAnswers(t: TestContext, drawn: fc.Arbitrary<ServerPlay>): Promise<number> {
    const plays = new Map<string, ServerPlay>();
    const played = new Set<string>();
    const serve = async (req: RawRequest): Promise<void> => {
        const requestId = req.headers.get("x-id") ?? "";
        const play = plays.get(requestId);
        assert.ok(play, "the request is known");
        await playBytes(req, play);
        played.add(requestId);
    };
    const { port } = await startRawBackend(t, req => void serve(req));
    let answered = 0;
    await fc.assert(
        fc.asyncProperty(drawn, async play => {
            const requestId = `played-${plays.size}`;
            plays.set(requestId, play);
            const method = play.framing === "HEAD" ? "HEAD" : "GET";
            const { result, body } = await send(port, method, requestId, () => played.has(requestId));
            if (result.end.type === "answered") {
                answered++;
                assert.equal(body, wholeBody(play, requestId));
            }
        }),
        { seed, numRuns: runs, includeErrorInReport: true },
    );
    return answered;
}

// Guards against a response that counts as answered and isn't what its server meant.
test("whatever a server sends, in whatever pieces: what counts as answered is whole", async t => {
    const answered = await checkAnswers(t, steadyPlays);
    assert.ok(answered > runs / 10, `${answered} of ${runs} were answered`);
});

// Guards against the head and the beginning of a repeated response within the first one's body.
test("whatever a server sends that stutters, in whatever pieces: what counts as answered is whole", async t => {
    await checkAnswers(t, stutteringPlays);
});
