import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setImmediate, setTimeout } from "node:timers/promises";
import { request } from "undici";
import { sendRawRequest } from "@galenaglade/stand-ins";
import { describeService, FixedSource, startBackend, startGateway } from "./testGateway.js";

/** Default number of slots of a backend server. */
const slots = 3;
/** Maximum number of queued requests per service. */
const queueLength = 64;

test("a request reaches its backend server with its deadline, and its response is returned complete", async t => {
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
    // The gateway's configuration has become stale, so an availability zone may have been taken out since. It sends no
    // requests and answers at once with 503 and a Retry-After header.
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
    // A request is in flight when the planned stop begins. Its caller gets the complete response before the stop ends.
    let finish = (): void => undefined;
    let signalArrival = (): void => undefined;
    const arrived = new Promise<void>(resolve => {
        signalArrival = resolve;
    });
    const port = await startBackend(t, (_req, res) => {
        finish = () => res.end("whole");
        signalArrival();
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
    await setTimeout(20);
    assert.equal(stopped, false);
    finish();
    const answer = await answered;
    assert.equal(await answer.body.text(), "whole");
    await stop;
});

// The first response must not close the connection while servers work on the requests that were sent behind it.
test("pipelined requests in flight at a planned stop all get their responses", async t => {
    let served = 0;
    const port = await startBackend(t, (req, res) => {
        served++;
        globalThis.setTimeout(() => res.end(`answer to ${req.url ?? ""}`), 100 * served);
    });
    const source = new FixedSource();
    source.apply(1, describeService([port]));
    const { url, gateway } = await startGateway(t, source);
    const render = (n: number): string => `GET /tables/${n} HTTP/1.1\r\nhost: a\r\n\r\n`;
    const received = sendRawRequest(url, render(1) + render(2) + render(3));
    while (served < 3) {
        await setTimeout(5);
    }
    const stopped = gateway.stop();
    const { text, reset } = await received;
    await stopped;
    assert.equal(reset, false);
    assert.deepEqual(text.match(/answer to \/tables\/\d/g)?.length, 3);
    assert.equal(text.match(/connection: close/gi)?.length, 1);
});

// During a planned stop, the load balancer still sends callers for a while. Their responses close the connection: one
// kept alive would be closed at the end of the stop, possibly during the next request.
test("responses during a planned stop close their connections", async t => {
    const answers: (() => void)[] = [];
    let signalArrival = (): void => undefined;
    const arrived = new Promise<void>(resolve => {
        signalArrival = resolve;
    });
    const port = await startBackend(t, (_req, res) => {
        answers.push(() => res.end("whole"));
        signalArrival();
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

// All slots are busy and the queue is full of requests whose callers disconnect. Their places become free at once.
// Otherwise, new requests would be refused until the deadlines of the disconnected ones.
test("requests of disconnected callers are removed from the queue", async t => {
    const held: (() => void)[] = [];
    const port = await startBackend(t, (_req, res) => {
        held.push(() => res.end("whole"));
    });
    const source = new FixedSource();
    source.apply(1, describeService([port], 60_000));
    const { url } = await startGateway(t, source);
    const inSlots = Array.from({ length: slots }, () => request(`${url}/tables`));
    while (held.length < slots) {
        await setImmediate();
    }
    const abort = new AbortController();
    const queued = Array.from({ length: queueLength }, () => request(`${url}/tables`, { signal: abort.signal }));
    const full = await sendUntil(url, res => res !== undefined);
    assert.equal(full.refusal, "urn:galenaglade:error:overloaded");
    abort.abort();
    await Promise.allSettled(queued);
    const next = await sendUntil(url, res => res === undefined);
    for (const finish of held) {
        finish();
    }
    await Promise.all(inSlots);
    while (held.length < slots + 1) {
        await setImmediate();
    }
    held.at(-1)?.();
    assert.equal((await next.response).statusCode, 200);
});

// Guards against a disconnect that reaches only the request whose response is due first: servers would go on working on
// the others, and a planned stop would wait for them.
test("servers are freed of all requests of a connection that is closed, and a planned stop doesn't wait", async t => {
    let started = 0;
    let closed = 0;
    const port = await startBackend(t, (_req, res) => {
        started++;
        res.once("close", () => closed++);
    });
    const source = new FixedSource();
    source.apply(1, describeService([port], 60_000));
    const { url, gateway } = await startGateway(t, source);
    const caller = connect(Number(new URL(url).port), "127.0.0.1");
    const count = Math.min(slots, 3);
    caller.write("GET /tables HTTP/1.1\r\nhost: a\r\n\r\n".repeat(count));
    while (started < count) {
        await setImmediate();
    }
    caller.destroy();
    while (closed < count) {
        await setImmediate();
    }
    await gateway.stop();
});

interface SentRequest {
    readonly response: ReturnType<typeof request>;
    /** The problem type if the request was refused; `undefined` if it is queued. */
    readonly refusal: unknown;
}

/** Sends a request until its immediate response, or the lack of one, matches; aborts those that don't match. */
async function sendUntil(
    url: string,
    matches: (res: Awaited<ReturnType<typeof request>> | undefined) => boolean,
): Promise<SentRequest> {
    for (;;) {
        const abort = new AbortController();
        const response = request(`${url}/tables`, { signal: abort.signal });
        const immediate = await Promise.race([response, setTimeout(200, undefined)]);
        const problem = await immediate?.body.json() as Record<string, unknown> | undefined;
        if (matches(immediate)) {
            return { response, refusal: problem?.["type"] };
        }
        abort.abort();
        await response.catch(() => undefined);
    }
}
