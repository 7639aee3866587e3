import { type RawRequest, sendRawRequest } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { renderSignedResponse, startBackend, startEdgeWith } from "./support/testEdge.js";

// The first server fails the request; the other one begins a large response to the retry and stalls.
test("the failure of an earlier send isn't written into a response that is being streamed", async t => {
    let arrivals = 0;
    const serve = (req: RawRequest): void => {
        arrivals++;
        const response = arrivals === 1
            ? renderSignedResponse(req, "failed", "500 Internal Server Error")
            : renderSignedResponse(req, "x".repeat(600_000)).slice(0, 500_000);
        req.socket.write(response);
    };
    const edge = await startEdgeWith(t, await startBackend(t, "a", serve), await startBackend(t, "b", serve));
    const { text, reset } = await sendRawRequest(
        edge.url,
        "GET /tables/large HTTP/1.1\r\nhost: survey.example\r\nx-id: large\r\nx-patience-ms: 1400\r\n\r\n",
    );
    assert.match(text, /^HTTP\/1\.1 200 OK/);
    assert.equal(reset, true);
    assert.deepEqual(edge.logs.filter(({ message }) => message === "unexpected"), []);
});
