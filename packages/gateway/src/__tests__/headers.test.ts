import assert from "node:assert/strict";
import { test } from "node:test";
import { resolveResponseHeaders, resolveForwardHeaders } from "../requests/headers.js";

test("headers of the caller's connection, and those that only the gateway may set, are not passed on", () => {
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

test("what backend servers say to the gateway does not reach callers", () => {
    const raw = ["X-Backend-In-Flight", "2", "X-Galenaglade-Did-Run", "no", "ETag", "7"];
    assert.deepEqual(resolveResponseHeaders(raw), ["etag", "7"]);
});
