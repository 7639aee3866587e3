import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { describeService, FixedSource, startBackend, startGateway } from "./testGateway.js";

test("a request reaches its backend server with its deadline, and its answer comes back whole", async t => {
    let seen: Record<string, unknown> = {};
    const port = await startBackend(t, (req, res) => {
        seen = req.headers;
        res.setHeader("x-backend-in-flight", "1");
        res.end(`answer to ${req.url ?? ""}`);
    });
    const source = new FixedSource();
    source.apply(1, describeService([port]));
    const { url } = await startGateway(t, source);

    const answer = await request(`${url}/tables/2026?region=north`, {
        headers: { "x-caller-kind": "analyst", "x-deadline-ms": "86400000" },
    });

    assert.equal(answer.statusCode, 200);
    assert.equal(await answer.body.text(), "answer to /tables/2026?region=north");
    assert.equal(answer.headers["x-galenaglade-did-run"], "yes");
    assert.equal(answer.headers["x-backend-in-flight"], undefined);
    assert.match(String(seen["traceparent"]), /^00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]$/);
    const deadlineMs = Number(seen["x-deadline-ms"]);
    assert.ok(deadlineMs > 0 && deadlineMs <= 5_000, `deadline ${deadlineMs}`);
});

test("a request for no declared service is refused with its reason, and did not run", async t => {
    const source = new FixedSource();
    source.apply(1, describeService([]));
    const { url } = await startGateway(t, source);
    const answer = await request(`${url}/elsewhere`);
    assert.equal(answer.statusCode, 404);
    assert.equal(answer.headers["content-type"], "application/problem+json");
    assert.equal(answer.headers["x-galenaglade-did-run"], "no");
    const problem = await answer.body.json() as Record<string, unknown>;
    assert.equal(problem["type"], "urn:galenaglade:error:noSuchService");
});

test("a gateway whose configuration is not fresh refuses new work and is not ready", async t => {
    // The caller sees 503 with the time to come back, at once. The gateway had a configuration, then lost touch: it
    // can't know whether an availability zone was taken out since, so it sends nothing.
    let reached = 0;
    const port = await startBackend(t, (_req, res) => {
        reached++;
        res.end();
    });
    const source = new FixedSource();
    source.apply(1, describeService([port]));
    const { url, operationsUrl } = await startGateway(t, source);
    source.fresh = false;
    const answer = await request(`${url}/tables`);
    await answer.body.dump();
    assert.equal(answer.statusCode, 503);
    assert.equal(answer.headers["retry-after"], "2");
    assert.equal(answer.headers["x-galenaglade-did-run"], "no");
    assert.equal(reached, 0);
    const readiness = await request(`${operationsUrl}/readyz`);
    assert.equal(readiness.statusCode, 503);
    assert.match(await readiness.body.text(), /not fresh/);
});

test("a planned stop lets the request in flight finish", async t => {
    // The caller's request is running when the stop begins: it gets its whole answer, and only then the stop ends.
    let finish = (): void => undefined;
    let noteArrival = (): void => undefined;
    const arrived = new Promise<void>(resolve => {
        noteArrival = resolve;
    });
    const port = await startBackend(t, (_req, res) => {
        finish = () => res.end("whole");
        noteArrival();
    });
    const source = new FixedSource();
    source.apply(1, describeService([port]));
    const { url, gateway } = await startGateway(t, source);
    const answered = request(`${url}/tables`);
    await arrived;
    let stopped = false;
    const stop = gateway.stop().then(() => {
        stopped = true;
    });
    await new Promise(resolve => setTimeout(resolve, 20));
    assert.equal(stopped, false);
    finish();
    const answer = await answered;
    assert.equal(await answer.body.text(), "whole");
    await stop;
});

// The balancer still sends callers to a host whose planned stop has begun. They are served, and told with the answer
// that their connection ends: a kept one would be cut at the end of the stop, perhaps under the next request.
test("answers given during a planned stop end their connections", async t => {
    const answers: (() => void)[] = [];
    let noteArrival = (): void => undefined;
    const arrived = new Promise<void>(resolve => {
        noteArrival = resolve;
    });
    const port = await startBackend(t, (_req, res) => {
        answers.push(() => res.end("whole"));
        noteArrival();
    });
    const source = new FixedSource();
    source.apply(1, describeService([port]));
    const { url, gateway } = await startGateway(t, source);
    const inFlight = request(`${url}/tables`);
    await arrived;
    const stop = gateway.stop();
    for (const finish of answers) {
        finish();
    }
    const answer = await inFlight;
    assert.equal(answer.headers["connection"], "close");
    assert.equal(await answer.body.text(), "whole");
    await stop;
});
