import assert from "node:assert/strict";
import * as fc from "fast-check";
import { test } from "node:test";
import { EmbeddedHeadScanner } from "../outgoing/embeddedHeads.js";

const head = "HTTP/1.1 200 OK\r\nRequest-Id: 5\r\nContent-Length: 3\r\n\r\n";
const parts = fc.constantFrom(
    head,
    "HTTP/1.",
    "HTTP/1.1 20",
    "HTTP/1.1 200 OK\r\n",
    "a: b\r\n",
    "\r\n\r\n",
    "HT",
    "x",
    "body",
);

/** Scans a text that is divided at the given places. */
function scan(text: string, cuts: readonly number[]): { readonly passed: string; readonly ids: readonly string[]; } {
    const scanner = new EmbeddedHeadScanner();
    const places = [0, ...cuts.map(cut => cut % (text.length + 1)).toSorted((a, b) => a - b), text.length];
    let passed = "";
    const ids: string[] = [];
    for (let i = 1; i < places.length; i++) {
        const { cleared, heads } = scanner.scan(Buffer.from(text.slice(places[i - 1], places[i]), "latin1"));
        passed += cleared.toString("latin1");
        ids.push(...heads.map(({ headers }) => headers.join("|")));
    }
    return { passed: passed + scanner.release().toString("latin1"), ids };
}

// Guards against bytes that are lost or changed, and heads that are found or not by where the bytes are divided.
test("heads inside a body are found however its bytes are divided, and no byte is lost", () => {
    fc.assert(
        fc.property(fc.array(parts, { maxLength: 8 }), fc.array(fc.nat(), { maxLength: 6 }), (pieces, cuts) => {
            const text = pieces.join("");
            const whole = scan(text, []);
            assert.equal(whole.passed, text);
            assert.deepEqual(scan(text, cuts), whole);
            if (pieces.includes(head)) {
                assert.ok(whole.ids.includes("Request-Id|5|Content-Length|3"));
            }
        }),
        { seed: 65, numRuns: 2_000 },
    );
});

// Guards against a body that keeps the process busy, because each of its lines may begin a head.
test("a body full of beginnings of heads is scanned in bounded time and memory", () => {
    const scanner = new EmbeddedHeadScanner();
    const piece = Buffer.from("a: HTTP/1.1 200\r\n".repeat(4_000));
    let passed = 0;
    for (let i = 0; i < 100; i++) {
        passed += scanner.scan(piece).cleared.length;
    }
    assert.ok(passed >= 99 * piece.length, "at most one piece is held back");
});
