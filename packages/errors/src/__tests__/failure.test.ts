import assert from "node:assert/strict";
import { test } from "node:test";
import { errorResponses, createFailure, errorKinds, resolveFailure } from "../index.js";

test("every error kind maps to an error status", () => {
    for (const kind of errorKinds) {
        assert.ok(errorResponses[kind].status >= 400 && errorResponses[kind].status < 600, kind);
    }
});

test("a failure's own values override the defaults of its kind", () => {
    const resolved = resolveFailure(createFailure("connectionLost", "reset", { didRun: "no", retryAfterSeconds: 3 }));
    assert.equal(resolved.didRun, "no");
    assert.equal(resolved.retryAfterSeconds, 3);
    assert.equal(resolved.status, 502);
});
