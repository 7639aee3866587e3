import { sendRawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { call, startBackend, startEdgeWith } from "./support/testEdge.js";

// Guards against a process that ends because a request on its port for gateways has a target that is no URL.
test("a process survives requests for odd targets on its port for gateways", async t => {
    const edge = await startEdgeWith(t, await startBackend(t, "a"));
    for (
        const target of [
            "//",
            "http://[",
            "//a:99999",
            "*",
            "/store-changes?after=1e400&wait=1e400",
            "/store-changes?after=1e308&wait=-1",
            "/store-changes?after=-1&wait=0",
            "/store-changes?after=1.5&wait=0",
            "/reach?service=%",
        ]
    ) {
        const res = await sendRawRequest(
            edge.peersUrl,
            `GET ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`,
        );
        assert.match(res.text, /^HTTP\/1.1 \d{3}/, target);
    }
    assert.equal((await call(edge, "/tables/x")).status, 200);
});
