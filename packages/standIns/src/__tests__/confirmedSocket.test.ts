import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { connectConfirmed, ResponseParser } from "../index.js";

/** @returns how a connection ends for a client whose process finds its bytes and its end together */
async function findEnding(t: TestContext, end: (socket: Socket) => void): Promise<readonly [string, number]> {
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.write("x".repeat(100));
        end(socket);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const socket = connectConfirmed((server.address() as AddressInfo).port);
    t.after(() => {
        socket.destroy();
        server.close();
    });
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
    });
    const ending = await new Promise<string>(resolve => {
        socket.once("error", err => resolve(err.name));
        socket.once("end", () => resolve("end"));
    });
    return [ending, bytes];
}

// Guards against a caller that blames a gateway for a response that was reset, because it reads the reset as an end.
test("a connection that is reset in the turn of its bytes doesn't end normally", async t => {
    assert.equal((await findEnding(t, socket => socket.resetAndDestroy()))[0], "ConnectionResetError");
});

test("a connection that is closed in the turn of its bytes ends normally, with all of them", async t => {
    assert.deepEqual(await findEnding(t, socket => socket.end()), ["end", 100]);
});

/** @returns the bodies of the responses in these bytes, which arrive in parts, and that of one that their end completes */
function parse(text: string, partBytes: number): readonly (string | undefined)[] {
    const parser = new ResponseParser();
    const bodies: string[] = [];
    for (let at = 0; at < text.length; at += partBytes) {
        for (const { body } of parser.add(Buffer.from(text.slice(at, at + partBytes)))) {
            bodies.push(body);
        }
    }
    return [...bodies, parser.end()?.body];
}

const byLength = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
const inChunks = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ndef\r\n2;x=y\r\ngh\r\n0\r\n\r\n";
const untilClose = "HTTP/1.1 200 OK\r\n\r\nijk";
const identity = "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\ncontent-length: 1\r\n\r\nlmn";

test("responses of all framings are read from parts of any size", () => {
    for (const partBytes of [1, 2, 7, 1_000]) {
        assert.deepEqual(parse(byLength + inChunks + untilClose, partBytes), ["abc", "defgh", "ijk"]);
        assert.deepEqual(parse(byLength + identity, partBytes), ["abc", "lmn"]);
    }
});

// Guards against a parser that takes a response for whole that its framing doesn't call so.
test("responses that break off aren't read, and bytes that are no response throw", () => {
    for (const text of [byLength.slice(0, -1), inChunks.slice(0, -5), untilClose.slice(0, 10)]) {
        assert.deepEqual(parse(text, 5), [undefined]);
    }
    assert.throws(() => parse(`${byLength}xyz\r\n\r\n`, 1_000), /no response/);
    assert.throws(() => parse(inChunks.replace("3\r\n", "zz\r\n"), 1_000), /no chunk/);
});
