import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { call, renderSignedResponse, startBackend, startEdgeWith } from "./support/testEdge.js";

// Guards against a budget that is spent on repeats that no server gets, so that later requests aren't retried.
test("a retry for which no server is found takes nothing from the retry budget", async t => {
    const backend = await startBackend(t, "a", req => {
        backend.load = undefined;
        req.socket.write(renderSignedResponse(req, "failed", "500 Failure"));
    });
    const edge = await startEdgeWith(t, backend);
    assert.equal((await call(edge, "/tables/x")).status, 500);
    const metrics = await (await request(edge.metricsUrl)).body.text();
    assert.doesNotMatch(metrics, /galenaglade_repeats_total\{[^}]*decision="sent"/);
    assert.equal(backend.servedRequests().length, 1);
});
