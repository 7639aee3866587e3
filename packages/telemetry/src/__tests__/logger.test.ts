import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger, createMetrics } from "../index.js";

test("writes a line as one JSON object with its fields", () => {
    const lines: string[] = [];
    const logger = createLogger({ process: "gateway-1", level: "info", json: true, write: line => lines.push(line) });
    logger.info("request refused", { traceId: "abc", status: 503 });
    logger.debug("left out");
    assert.equal(lines.length, 1);
    const line = JSON.parse(lines[0] ?? "") as Record<string, unknown>;
    assert.equal(line["message"], "request refused");
    assert.equal(line["traceId"], "abc");
    assert.equal(line["status"], 503);
    assert.equal(line["process"], "gateway-1");
});

test("renders metrics in the Prometheus text format", async () => {
    const metrics = createMetrics("gateway");
    metrics.meter.createHistogram("http.server.request.duration", { unit: "s" }).record(0.0007, { "http.route": "/" });
    const text = await metrics.render();
    assert.match(text, /http_server_request_duration_bucket\{[^}]*le="0.001"[^}]*\} 1/);
    await metrics.shutdown();
});
