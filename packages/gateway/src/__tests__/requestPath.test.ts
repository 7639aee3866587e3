import { KeyValueEngine } from "@galenaglade/stand-ins";
import { minStallTimeoutMs } from "@galenaglade/at-most-once";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { setImmediate, setTimeout } from "node:timers/promises";
import { test, type TestContext } from "node:test";
import { request } from "undici";
import { EngineStore } from "./engineStore.js";
import {
    type RawBackend,
    type RawRequest,
    renderRawResponse,
    sendRawRequest,
    startRawBackend,
} from "@galenaglade/stand-ins";
import { describeService, FixedSource, startGateway, type TestGateway } from "./testGateway.js";

/** Initial number of retries in a service's retry budget. */
const initialRetries = 20;
const didRunHeader = "x-galenaglade-did-run";

async function startGatewayWith(
    t: TestContext,
    backends: readonly RawBackend[],
    more: { readonly patienceMs?: number; readonly store?: EngineStore; readonly source?: FixedSource; } = {},
): Promise<TestGateway> {
    const source = more.source ?? new FixedSource();
    source.apply(1, describeService(backends.map(backend => backend.port), more.patienceMs));
    return await startGateway(t, source, more.store);
}

interface TestResponse {
    readonly status: number;
    readonly didRun: unknown;
    readonly retryAfter: unknown;
    readonly body: string;
}

async function send(url: string, method: "GET" | "POST" = "GET", idempotencyKey?: string): Promise<TestResponse> {
    const answer = await request(url, {
        method,
        ...(method === "POST" ? { body: "wages" } : {}),
        headers: idempotencyKey === undefined ? {} : { "idempotency-key": idempotencyKey },
    });
    const body = await answer.body.text();
    return {
        status: answer.statusCode,
        didRun: answer.headers[didRunHeader],
        retryAfter: answer.headers["retry-after"],
        body,
    };
}

const shed = (req: RawRequest): void => {
    req.socket.write(renderRawResponse("shed", "503 Service Unavailable", [`${didRunHeader}: no`]));
};
const answer = (req: RawRequest): void => {
    req.socket.write(renderRawResponse(`${req.method} ${req.path}`));
};
const close = (req: RawRequest): void => {
    req.socket.destroy();
};

// A non-idempotent request is read by a backend server, whose connection closes before a response. The request may have
// run, so its did-run value is "unknown" and it is not retried on any server.
test("a non-idempotent request whose connection closes is sent once and reported as unknown", async t => {
    const one = await startRawBackend(t, close);
    const other = await startRawBackend(t, close);
    const { url } = await startGatewayWith(t, [one, other]);
    const res = await send(`${url}/tables`, "POST");
    assert.deepEqual([res.status, res.didRun], [502, "unknown"]);
    assert.equal(one.requests.length + other.requests.length, 1);
});

// The backend server closes a keep-alive connection just as the next request is written to it. On a pooled connection,
// it would be unknown whether a non-idempotent request ran; on a new connection, this race can't occur.
test("a non-idempotent request is not sent on a connection that may be closing", async t => {
    const backend = await startRawBackend(t, req => req.requestNumber > 1 ? close(req) : answer(req));
    const { url } = await startGatewayWith(t, [backend]);
    assert.equal((await send(`${url}/tables`, "POST")).status, 200);
    const second = await send(`${url}/tables`, "POST");
    assert.deepEqual([second.status, second.didRun], [200, "yes"]);
    assert.equal(backend.requests.length, 2);
});

// An overloaded backend server reports that it shed a request before running it, so another server can take it. If all
// servers shed it, the response says that it did not run and when to retry.
test("a non-idempotent request that was shed before running is retried, or refused as not run", async t => {
    const full = await startRawBackend(t, shed);
    const free = await startRawBackend(t, answer);
    const mixed = await startGatewayWith(t, [full, free]);
    for (let i = 0; i < 4; i++) {
        assert.equal((await send(`${mixed.url}/tables`, "POST")).status, 200);
    }
    const all = await startGatewayWith(t, [full]);
    const res = await send(`${all.url}/tables`, "POST");
    assert.deepEqual([res.status, res.didRun, res.retryAfter], [503, "no", "1"]);
});

// A body reaches the backend server unchanged, whether it has a declared length, is chunked or is too large to buffer.
// A chunked body that exceeds the buffer limit is refused before anything is sent.
test("a body is forwarded unchanged, and refused beyond its limit", async t => {
    const large = 1_500_000;
    const backend = await startRawBackend(t, req => req.socket.write(renderRawResponse(String(req.body.length))));
    const source = new FixedSource();
    const described = describeService([backend.port]);
    source.apply(1, {
        ...described,
        services: described.services.map(service => ({ ...service, maximumBodyBytes: large })),
    });
    const { url } = await startGateway(t, source);
    const upload = async (body: Buffer | Readable): Promise<readonly [number, string]> => {
        const answered = await request(`${url}/tables`, { method: "POST", body });
        return [answered.statusCode, await answered.body.text()];
    };
    assert.deepEqual(await upload(Buffer.alloc(1_000, "a")), [200, "1000"]);
    assert.deepEqual(await upload(Buffer.alloc(large, "a")), [200, String(large)]);
    assert.deepEqual(await upload(Readable.from([Buffer.alloc(500, "a"), Buffer.alloc(700, "b")])), [200, "1200"]);
    assert.equal((await upload(Buffer.alloc(large + 1)))[0], 413);
    const before = backend.requests.length;
    const outgrown = await sendRawRequest(
        url,
        `POST /tables HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${
            `10000\r\n${"x".repeat(65_536)}\r\n`.repeat(17)
        }`,
    );
    assert.match(outgrown.text, /^HTTP\/1\.1 413 /);
    assert.equal(backend.requests.length, before);
});

// A read fails when its connection closes, is retried on another server and shed there. The first attempt may have run,
// so the did-run value of the last attempt alone, "no", would be wrong.
test("the did-run value of a refusal covers every attempt, not only the last one", async t => {
    let lost = 0;
    const loseFirst = (req: RawRequest): void => lost++ === 0 ? close(req) : shed(req);
    const one = await startRawBackend(t, loseFirst);
    const other = await startRawBackend(t, loseFirst);
    const { url } = await startGatewayWith(t, [one, other]);
    const res = await send(`${url}/tables`);
    assert.deepEqual([res.status, res.didRun], [503, "unknown"]);
    assert.equal(one.requests.length + other.requests.length, 2);
});

test("a read whose connection closes is retried on another server", async t => {
    let lost = 0;
    const loseFirst = (req: RawRequest): void => lost++ === 0 ? close(req) : answer(req);
    const backends = [await startRawBackend(t, loseFirst), await startRawBackend(t, loseFirst)];
    const { url } = await startGatewayWith(t, backends);
    const res = await send(`${url}/tables`);
    assert.deepEqual([res.status, res.body], [200, "GET /tables"]);
});

// All backend servers fail all requests. Retrying each one up to the maximum of three attempts would triple the load
// on failing servers. The retry budget allows only its initial balance, since no request succeeds.
test("retries stay within their budget while all requests fail", async t => {
    const backends = [
        await startRawBackend(t, close),
        await startRawBackend(t, close),
        await startRawBackend(t, close),
    ];
    const { url } = await startGatewayWith(t, backends);
    const reads = 60;
    for (let i = 0; i < reads; i++) {
        const res = await send(`${url}/tables`);
        assert.deepEqual([res.status, res.didRun, res.retryAfter], [502, "unknown", "1"]);
    }
    const sent = backends.reduce((sum, backend) => sum + backend.requests.length, 0);
    assert.equal(sent, reads + initialRetries);
});

// A backend server's connection closes early: one byte short of the declared length, before the last chunk, or without
// any framing that marks the end. The caller must not treat the partial data as complete, so its connection is reset.
// This matters most for HTTP/1.0, where closing the connection marks the end of the response.
test("a truncated response resets the caller's connection", async t => {
    const cuts = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n123456789",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\n123456789\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n9\r\n123456789\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n123456789",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\n123456789",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n123456789",
    ];
    for (const cut of cuts) {
        const backend = await startRawBackend(t, req => req.socket.end(cut));
        const { url } = await startGatewayWith(t, [backend]);
        for (const version of ["1.0", "1.1"]) {
            const seen = await sendRawRequest(
                url,
                `GET /tables HTTP/${version}\r\nhost: a\r\nconnection: close\r\n\r\n`,
            );
            assert.equal(seen.reset, true, `HTTP/${version} after ${JSON.stringify(cut)} saw ${seen.text}`);
        }
    }
});

// A response is larger than all buffers on its path, and its caller reads more slowly than the backend server sends.
// The gateway must apply backpressure instead of buffering the response in memory, and must not lose any bytes.
test("a large response reaches a slow caller complete", async t => {
    const part = "0123456789".repeat(100_000);
    const parts = 40;
    const length = part.length * parts;
    let taken = 0;
    let takenWhenAllWasSent = 0;
    const backend = await startRawBackend(t, req => {
        req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${length}\r\n\r\n`);
        const sendParts = (left: number): void => {
            if (left === 0) {
                takenWhenAllWasSent = taken;
                return;
            }
            req.socket.write(part, () => sendParts(left - 1));
        };
        sendParts(parts);
    });
    const { url } = await startGatewayWith(t, [backend], { patienceMs: 60_000 });
    const answered = await request(`${url}/tables`);
    let wrong = 0;
    for await (const chunk of answered.body as AsyncIterable<Buffer>) {
        for (const byte of chunk) {
            wrong += byte === 48 + taken++ % 10 ? 0 : 1;
        }
        await setTimeout(1);
    }
    assert.deepEqual([taken, wrong], [length, 0]);
    assert.ok(takenWhenAllWasSent > length / 2, `all was sent when ${takenWhenAllWasSent} bytes were taken`);
});

test("responses without a body are complete", async t => {
    const backend = await startRawBackend(t, req => {
        req.socket.write(
            req.method === "HEAD"
                ? "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"
                : `HTTP/1.1 ${req.path.slice(-3)} Empty\r\n\r\n`,
        );
    });
    const { url } = await startGatewayWith(t, [backend]);
    for (const status of [204, 304]) {
        const answered = await request(`${url}/tables/${status}`);
        assert.deepEqual([answered.statusCode, await answered.body.text()], [status, ""]);
    }
    const head = await request(`${url}/tables`, { method: "HEAD" });
    assert.deepEqual([head.statusCode, head.headers["content-length"], await head.body.text()], [200, "10", ""]);
});

// A request times out and its caller gets an error at once. The late response arrives while the next request waits for
// its own; on a reused connection, the next caller would get the first caller's data. So the connection is destroyed at
// the timeout, which also signals the backend server to stop.
test("a late response is not delivered to the next caller", { timeout: 30_000 }, async t => {
    let late: RawRequest | undefined;
    const backend = await startRawBackend(t, req => {
        if (req.path === "/tables/late") {
            late = req;
            return;
        }
        late?.socket.write(renderRawResponse("the late answer"));
        void setTimeout(20).then(() => answer(req));
    });
    const { url } = await startGatewayWith(t, [backend], { patienceMs: 200 });
    const first = await send(`${url}/tables/late`);
    assert.deepEqual([first.status, first.didRun, first.retryAfter], [504, "unknown", "1"]);
    assert.ok(late);
    if (!late.socket.destroyed) {
        await once(late.socket, "close");
    }
    const next = await send(`${url}/tables/next`);
    assert.deepEqual([next.status, next.body], [200, "GET /tables/next"]);
    assert.deepEqual(backend.requests.map(req => req.connection), [1, 2]);
});

// A keep-alive connection becomes half-open: a middlebox has dropped its state, and whatever is sent on it is lost. The
// backend server still responds on other connections. The read must not wait until its deadline. It is retried on a new
// connection to the same server, which is the only one and not at fault.
test("a read on a stalled connection is retried on another connection", async t => {
    const backend = await startRawBackend(t, req => {
        if (req.connection !== 1 || req.requestNumber === 1) {
            answer(req);
        }
    });
    const { url } = await startGatewayWith(t, [backend]);
    await send(`${url}/tables/first`);
    const silent = send(`${url}/tables/silent`);
    while (backend.requests.length < 2) {
        await setImmediate();
    }
    const other = await send(`${url}/tables/other`);
    assert.equal(other.body, "GET /tables/other");
    assert.deepEqual(await silent, { status: 200, didRun: "yes", retryAfter: undefined, body: "GET /tables/silent" });
    const after = await send(`${url}/tables/after`);
    assert.equal(after.status, 200);
    const [stalled, retried, ...more] = backend.requests.filter(req => req.path === "/tables/silent");
    assert.deepEqual([stalled?.connection, more.length], [1, 0]);
    const others = backend.requests.filter(req => req !== retried).map(req => req.connection);
    assert.ok(retried !== undefined && !others.includes(retried.connection), "on a connection of its own");
    assert.notEqual(backend.requests.at(-1)?.connection, 1);
});

// A backend server takes long for one read while it responds to others, which looks like a stalled connection. The
// retry budget is exhausted, so abandoning the read would fail a request that is about to succeed. It must continue and
// be sent only once.
test("a slow read is not abandoned if the retry budget allows no retry", { timeout: 30_000 }, async t => {
    let slow: RawRequest | undefined;
    const backend = await startRawBackend(t, req => {
        if (req.path === "/tables/drain") {
            close(req);
        }
        else if (req.path === "/tables/slow") {
            slow = req;
        }
        else {
            answer(req);
        }
    });
    const { url } = await startGatewayWith(t, [backend]);
    for (let i = 0; i < initialRetries; i++) {
        await send(`${url}/tables/drain`);
    }
    const res = send(`${url}/tables/slow`);
    while (slow === undefined) {
        await setImmediate();
    }
    for (let i = 0; i < 5; i++) {
        await send(`${url}/tables/other`);
    }
    await setTimeout(2 * minStallTimeoutMs);
    answer(slow);
    assert.equal((await res).status, 200);
    assert.equal(backend.requests.filter(req => req.path === "/tables/slow").length, 1);
});

// The configuration becomes stale between the grant and the opened connection, for example because the process was
// suspended. The request must not be sent then, and so is reported as not run.
test("a request whose permission ends before its first byte is not sent", async t => {
    const backend = await startRawBackend(t, answer);
    const source = new (class extends FixedSource {
        asked = 0;
        override mayTakeNewWork(): boolean {
            return ++this.asked <= 2;
        }
    })();
    const { url } = await startGatewayWith(t, [backend], { source });
    const res = await send(`${url}/tables`, "POST");
    assert.deepEqual([res.status, res.didRun, res.retryAfter], [503, "no", "2"]);
    assert.equal(backend.requests.length, 0);
});

// A client retries a request through another gateway while the first attempt still runs, and again after it has ended.
test("a request sent through two gateways with one idempotency key runs once", async t => {
    let running: RawRequest | undefined;
    let signalRunning = (): void => undefined;
    const started = new Promise<void>(resolve => {
        signalRunning = resolve;
    });
    const backend = await startRawBackend(t, req => {
        running = req;
        signalRunning();
    });
    const store = new EngineStore();
    const one = await startGatewayWith(t, [backend], { store });
    const other = await startGatewayWith(t, [backend], { store });
    const first = send(`${one.url}/tables`, "POST", "ring-7");
    await started;
    const during = await send(`${other.url}/tables`, "POST", "ring-7");
    assert.deepEqual([during.status, during.didRun, during.retryAfter], [409, "unknown", "1"]);
    running?.socket.write(renderRawResponse("paid"));
    assert.equal((await first).body, "paid");
    const after = await send(`${other.url}/tables`, "POST", "ring-7");
    assert.deepEqual([after.status, after.didRun], [409, "yes"]);
    const mismatch = await send(`${other.url}/tables/other`, "POST", "ring-7");
    assert.deepEqual([mismatch.status, mismatch.didRun], [422, "no"]);
    assert.equal(backend.requests.length, 1);
});

// The caller disconnects while its non-idempotent request runs. If the request were aborted, it would be unknown
// whether it ran. It continues instead, and the next attempt with the same key learns that it ran.
test("a non-idempotent request continues when its caller disconnects, and its result is recorded", async t => {
    let running: RawRequest | undefined;
    let signalRunning = (): void => undefined;
    const started = new Promise<void>(resolve => {
        signalRunning = resolve;
    });
    const backend = await startRawBackend(t, req => {
        running = req;
        signalRunning();
    });
    const { url } = await startGatewayWith(t, [backend], { store: new EngineStore() });
    const disconnect = new AbortController();
    const first = request(`${url}/tables`, {
        method: "POST",
        body: "wages",
        headers: { "idempotency-key": "return-7" },
        signal: disconnect.signal,
    });
    await started;
    disconnect.abort();
    await assert.rejects(first);
    const during = await send(`${url}/tables`, "POST", "return-7");
    assert.deepEqual([during.status, during.didRun], [409, "unknown"]);
    assert.ok(running);
    assert.equal(running.socket.destroyed, false);
    running.socket.write(renderRawResponse("taken in"));
    let after = await send(`${url}/tables`, "POST", "return-7");
    while (after.didRun === "unknown") {
        after = await send(`${url}/tables`, "POST", "return-7");
    }
    assert.deepEqual([after.status, after.didRun], [409, "yes"]);
    assert.equal(backend.requests.length, 1);
});

// The caller disconnects while the idempotency key is still being claimed. The request must not be sent afterwards, and
// the key must be free for a later attempt.
test("a non-idempotent request whose caller disconnects before it is sent is not sent", async t => {
    const backend = await startRawBackend(t, answer);
    const store = new EngineStore();
    let release = (): void => undefined;
    store.ready = new Promise(resolve => {
        release = resolve;
    });
    const { url } = await startGatewayWith(t, [backend], { store });
    const client = connect(Number(new URL(url).port), "127.0.0.1");
    client.write("POST /tables HTTP/1.1\r\nhost: a\r\nidempotency-key: ring-8\r\ncontent-length: 5\r\n\r\nwages");
    while (store.calls === 0) {
        await setImmediate();
    }
    client.destroy();
    await setTimeout(200);
    release();
    let next = await send(`${url}/tables`, "POST", "ring-8");
    while (next.didRun === "unknown") {
        next = await send(`${url}/tables`, "POST", "ring-8");
    }
    assert.deepEqual([next.status, next.didRun], [200, "yes"]);
    assert.equal(backend.requests.filter(req => req.path === "/tables").length, 1);
});

// A planned stop begins while a non-idempotent request runs. The caller gets its response, and the result is recorded
// in the slow store before the stop ends. Otherwise the next attempt would be answered with "unknown".
test("a planned stop waits until the result of a non-idempotent request is recorded", async t => {
    let running: RawRequest | undefined;
    let signalRunning = (): void => undefined;
    const started = new Promise<void>(resolve => {
        signalRunning = resolve;
    });
    const backend = await startRawBackend(t, req => {
        running = req;
        signalRunning();
    });
    const engine = new KeyValueEngine();
    const store = new EngineStore(engine);
    const one = await startGatewayWith(t, [backend], { store });
    const other = await startGatewayWith(t, [backend], { store: new EngineStore(engine) });
    const first = send(`${one.url}/tables`, "POST", "return-8");
    await started;
    const stopped = one.gateway.stop();
    store.ready = setTimeout(200);
    running?.socket.write(renderRawResponse("taken in"));
    assert.equal((await first).body, "taken in");
    await stopped;
    store.isDown = true;
    const next = await send(`${other.url}/tables`, "POST", "return-8");
    assert.deepEqual([next.status, next.didRun], [409, "yes"]);
});

test("while the store is down a keyed request is refused at once, and one without a key runs", async t => {
    const backend = await startRawBackend(t, answer);
    const store = new EngineStore();
    store.isDown = true;
    const { url } = await startGatewayWith(t, [backend], { store });
    const keyed = await send(`${url}/tables`, "POST", "ring-7");
    assert.deepEqual([keyed.status, keyed.didRun, keyed.retryAfter], [503, "no", "5"]);
    assert.equal((await send(`${url}/tables`, "POST")).status, 200);
    assert.equal(backend.requests.length, 1);
});
