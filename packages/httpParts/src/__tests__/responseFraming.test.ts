import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type FramingPart, ResponseFraming, ResponseFramingError } from "../outgoing/responseFraming.js";

const limits = { maxHeadBytes: 2_048, maxInterimResponses: 4, maxChunkSizeBytes: 256, maxTrailerBytes: 512 };

function createFraming(): ResponseFraming {
    return new ResponseFraming(limits);
}

function feed(framing: ResponseFraming, text: string, random?: RandomSource): void {
    const bytes = Buffer.from(text, "latin1");
    for (let at = 0; at < bytes.length;) {
        const end = Math.min(bytes.length, at + (random === undefined ? bytes.length : 1 + random.nextInt(64)));
        framing.onBytes(bytes.subarray(at, end));
        at = end;
    }
}

/** @returns the part that is rejected when a piece comes again and again after a beginning, and after how many bytes */
function feedWithoutEnd(beginning: string, piece: string): { readonly part: FramingPart; readonly bytes: number; } {
    const framing = createFraming();
    feed(framing, beginning);
    const chunk = Buffer.from(piece, "latin1");
    for (let bytes = 0; bytes < 1_000_000; bytes += chunk.length) {
        try {
            framing.onBytes(chunk);
        }
        catch (err) {
            assert.ok(err instanceof ResponseFramingError);
            return { part: err.part, bytes };
        }
    }
    throw new Error("a megabyte was accepted");
}

const chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const hints = "HTTP/1.1 103 Early Hints\r\n";

const endless: readonly {
    readonly name: string;
    readonly beginning: string;
    readonly piece: string;
    readonly part: FramingPart;
    readonly limit: number;
}[] = [
    { name: "a status line", beginning: "HTTP/1.1 200 ", piece: "reason ", part: "head", limit: 2_048 },
    { name: "header lines", beginning: "HTTP/1.1 200 OK\r\n", piece: "a: b\r\n", part: "head", limit: 2_048 },
    { name: "a header line", beginning: "HTTP/1.1 200 OK\r\na: ", piece: "bcd", part: "head", limit: 2_048 },
    { name: "empty lines", beginning: "", piece: "\r\n", part: "head", limit: 2_048 },
    { name: "bytes without a line", beginning: "", piece: "xyz", part: "head", limit: 2_048 },
    { name: "interim responses", beginning: "", piece: `${hints}\r\n`, part: "interimResponses", limit: 4 * 28 },
    {
        name: "large interim responses",
        beginning: "",
        piece: `${hints}link: ${"l".repeat(1_000)}\r\n\r\n`,
        part: "head",
        limit: 2_048,
    },
    { name: "a chunk extension", beginning: `${chunkedHead}5;`, piece: "name=value;", part: "chunkSize", limit: 256 },
    { name: "bytes behind a chunk", beginning: `${chunkedHead}1\r\nx`, piece: "y", part: "chunkSize", limit: 256 },
    { name: "trailers", beginning: `${chunkedHead}0\r\n`, piece: "a: b\r\n", part: "trailers", limit: 512 },
    {
        name: "bytes behind a complete response",
        beginning: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        piece: "more",
        part: "head",
        limit: 2_048,
    },
];

for (const { name, beginning, piece, part, limit } of endless) {
    test(`${name} without an end: rejected at the limit`, () => {
        const rejected = feedWithoutEnd(beginning, piece);
        assert.equal(rejected.part, part);
        assert.ok(rejected.bytes <= limit, `${rejected.bytes} bytes accepted`);
    });
}

function drawPayload(random: RandomSource): string {
    return "x\r\n".repeat(random.nextInt(4_000)) + "0\r\n\r\n".repeat(random.nextInt(3));
}

function drawChunks(random: RandomSource): string {
    let chunks = "";
    for (let left = random.nextInt(6); left > 0; left--) {
        const payload = drawPayload(random);
        const extension = random.next() < 0.3 ? `;${"e".repeat(random.nextInt(200))}` : "";
        chunks += payload === "" ? "" : `${payload.length.toString(16)}${extension}\r\n${payload}\r\n`;
    }
    const trailers = random.next() < 0.3 ? `t: ${"r".repeat(random.nextInt(400))}\r\n` : "";
    return `${chunks}0\r\n${trailers}\r\n`;
}

function drawResponse(random: RandomSource): string {
    const interim = `${hints}\r\n`.repeat(random.nextInt(limits.maxInterimResponses + 1));
    const blank = "\r\n".repeat(random.nextInt(3));
    const header = `h: ${"v".repeat(random.nextInt(1_500))}\r\n`;
    switch (random.nextInt(4)) {
        case 0: {
            const payload = drawPayload(random);
            return `${blank}${interim}HTTP/1.1 200 OK\r\n${header}Content-Length: ${payload.length}\r\n\r\n${payload}`;
        }
        case 1:
            return `${interim}HTTP/1.1 500 Oops\r\n${header}Transfer-Encoding: chunked\r\n\r\n${drawChunks(random)}`;
        case 2:
            return `${interim}HTTP/1.1 204 No Content\r\n${header}\r\n`;
        default:
            return `${interim}HTTP/1.1 304 Not Modified\r\n${header}content-length: 10\r\n\r\n`;
    }
}

// Guards against responses that are cut off because their framing was followed wrongly.
test("valid responses of any framing are accepted, however their bytes are divided", () => {
    for (let seed = 1; seed <= 200; seed++) {
        const random = createRandomSource(seed);
        const framing = createFraming();
        for (let responses = 0; responses < 10; responses++) {
            feed(framing, drawResponse(random), random);
        }
        assert.doesNotThrow(() => feed(framing, `HTTP/1.1 200 OK\r\n\r\n${"untilClose".repeat(10_000)}`), `${seed}`);
    }
});

test("random bytes are rejected within the limits", () => {
    for (let seed = 1; seed <= 200; seed++) {
        const random = createRandomSource(seed);
        const framing = createFraming();
        const letters = "\r\n :;0aHTTP/1.1 200";
        const text = Array.from({ length: 8_192 }, () => letters[random.nextInt(letters.length)]).join("");
        assert.throws(() => feed(framing, text, random), ResponseFramingError, `seed ${seed}`);
    }
});
