import assert from "node:assert/strict";
import { test } from "node:test";
import { readResponseBody, renderResponseBody } from "../responseBody.js";

const bytes = 2_000;
const origin = { requestId: "r1", server: "server-1", run: 4 };
const body = renderResponseBody(origin, bytes);

function isExact(received: string): boolean {
    return readResponseBody(received, bytes)?.isExact === true;
}

test("a body names its run, and is exact as its server sent it", () => {
    assert.deepEqual(readResponseBody(body, bytes), { ...origin, isExact: true, wantedBytes: body.length });
    assert.equal((JSON.parse(body) as { readonly padding: string; }).padding.length, bytes);
});

// Guards against a checker that takes half a body, or bytes of two responses, for one that its server meant.
test("a body is not exact that is cut, begins again, or has a part of another one or another size", () => {
    const half = body.length / 2;
    const head = "HTTP/1.1 200 OK\r\n\r\n";
    const wrong = {
        cut: body.slice(0, half),
        beginsAgain: (body.slice(0, 100) + head + body).slice(0, body.length),
        repeated: body + body,
        moved: body.slice(0, 500) + body.slice(510, 1_510) + body.slice(500, 510) + body.slice(1_510),
        ofTwoRuns: body.slice(0, half) + renderResponseBody({ ...origin, run: 5 }, bytes).slice(half),
        ofTwoServers: body.slice(0, half) + renderResponseBody({ ...origin, server: "server-2" }, bytes).slice(half),
        otherSize: renderResponseBody(origin, bytes - 1),
        oneByte: `${body.slice(0, half)}#${body.slice(half + 1)}`,
    };
    assert.deepEqual(Object.entries(wrong).filter(([, received]) => isExact(received)).map(([name]) => name), []);
    assert.equal(readResponseBody(body.slice(20), bytes), undefined);
});
