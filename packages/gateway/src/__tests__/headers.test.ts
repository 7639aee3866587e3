import assert from "node:assert/strict";
import { test } from "node:test";
import { resolveResponseHeaders, resolveForwardHeaders } from "../requests/headers.js";

test("a caller's hop-by-hop headers, and headers that only the gateway may set, are not forwarded", () => {
    const raw = [
        ...["Connection", "keep-alive, X-Private"],
        ...["X-Private", "1"],
        ...["Transfer-Encoding", "chunked"],
        ...["X-Deadline-Ms", "86400000"],
        ...["X-Backend-State", "warm"],
        ...["Cookie", "a=1"],
        ...["Cookie", "b=2"],
    ];
    assert.deepEqual(resolveForwardHeaders(raw, { "x-deadline-ms": "250" }), [
        ...["cookie", "a=1"],
        ...["cookie", "b=2"],
        ...["x-deadline-ms", "250"],
    ]);
});

test("headers from backend servers to the gateway do not reach callers", () => {
    const raw = ["X-Backend-In-Flight", "2", "X-Galenaglade-Did-Run", "no", "ETag", "7"];
    assert.deepEqual(resolveResponseHeaders(raw), ["etag", "7"]);
});
