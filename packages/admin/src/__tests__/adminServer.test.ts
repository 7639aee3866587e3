import { type Client, Code, ConnectError, createClient, type Interceptor, type Transport } from "@connectrpc/connect";
import { createConnectTransport, createGrpcTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { FailureSchema, OperatorService, toConfigurationMessage } from "@galenaglade/schema";
import { Secret } from "@galenaglade/settings";
import { createLogger } from "@galenaglade/telemetry";
import fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { AdminServer, type AdminServerOptions, ChangeSignal, OperatorCalls, StandingFeed } from "../index.js";
import { declared, FakeCoordinator, FakeHostList, fleetKey } from "./fakeFleet.js";

/** Signals a change when triggered by the test. */
class ManualSignal extends ChangeSignal {
    announce: () => void = () => undefined;

    override wait(signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            this.announce = resolve;
            signal.addEventListener("abort", () => resolve());
        });
    }
}

interface TestServer {
    readonly coordinator: FakeCoordinator;
    readonly signal: ManualSignal;
    readonly server: AdminServer;
    readonly port: number;
    readonly url: string;
}

async function start(t: TestContext, options: Partial<AdminServerOptions> = {}): Promise<TestServer> {
    const coordinator = new FakeCoordinator();
    const signal = new ManualSignal();
    const calls = new OperatorCalls({ coordinator, hosts: new FakeHostList(), acceptWaitMs: 1_000 });
    const server = new AdminServer({
        calls,
        feed: new StandingFeed(() => calls.getStanding(), signal, 2),
        fleetKey: new Secret(fleetKey),
        maximumMessageBytes: 100_000,
        maximumConnections: 20,
        drainMs: 60_000,
        ...options,
    });
    const port = await server.listen("127.0.0.1", 0);
    let stopped = false;
    const stop = server.stop.bind(server);
    server.stop = () => {
        stopped = true;
        return stop();
    };
    t.after(async () => stopped || await stop());
    return { coordinator, signal, server, port, url: `http://127.0.0.1:${port}` };
}

type Protocol = "gRPC" | "Connect over HTTP/2" | "Connect over HTTP/1.1";
const protocols: readonly Protocol[] = ["gRPC", "Connect over HTTP/2", "Connect over HTTP/1.1"];

function createOperator(
    t: TestContext,
    protocol: Protocol,
    baseUrl: string,
    key = fleetKey,
): Client<typeof OperatorService> {
    const authorize: Interceptor = next => req => {
        req.header.set("authorization", `Bearer ${key}`);
        return next(req);
    };
    return createClient(OperatorService, createTransport(t, protocol, baseUrl, [authorize]));
}

function createTransport(
    t: TestContext,
    protocol: Protocol,
    baseUrl: string,
    interceptors: Interceptor[],
): Transport {
    if (protocol === "Connect over HTTP/1.1") {
        return createConnectTransport({ baseUrl, httpVersion: "1.1", interceptors });
    }
    const sessionManager = new Http2SessionManager(baseUrl);
    t.after(() => sessionManager.abort());
    return protocol === "gRPC"
        ? createGrpcTransport({ baseUrl, interceptors, sessionManager })
        : createConnectTransport({ baseUrl, httpVersion: "2", interceptors, sessionManager });
}

async function codeOf(call: Promise<unknown>): Promise<Code | "answered"> {
    return call.then(() => "answered" as const, (err: unknown) => ConnectError.from(err).code);
}

async function openSocket(t: TestContext, port: number): Promise<Socket> {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    t.after(() => socket.destroy());
    await once(socket, "connect");
    return socket;
}

/** Sends bytes and reads until the server closes the connection. */
async function exchange(t: TestContext, port: number, bytes: string): Promise<string> {
    const socket = await openSocket(t, port);
    let answer = "";
    socket.on("data", chunk => answer += chunk.toString("latin1"));
    socket.write(bytes, "latin1");
    await once(socket, "close");
    return answer;
}

const path = (method: string) => `/galenaglade.operator.v1.OperatorService/${method}`;

function createPost(method: string, body: string, headers: readonly string[] = []): string {
    const lines = [`POST ${path(method)} HTTP/1.1`, "host: x", `authorization: Bearer ${fleetKey}`, ...headers];
    return `${lines.join("\r\n")}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

for (const protocol of protocols) {
    test(`serves ${protocol} on the shared port`, async t => {
        const { url, coordinator } = await start(t);
        const operator = createOperator(t, protocol, url);
        const { standing } = await operator.takeZoneOut({ name: "a", changeId: "x" });
        assert.deepEqual([standing?.revision, standing?.changeId, standing?.inForce], [2, "x", true]);
        const { revision, configuration } = await operator.getConfiguration({});
        assert.equal(revision, 2);
        assert.deepEqual(configuration, toConfigurationMessage(coordinator.present.configuration));
    });

    test(`returns failure details over ${protocol}`, async t => {
        const { url } = await start(t);
        const operator = createOperator(t, protocol, url);
        const stale = { expectedRevision: 0, changeId: "x", configuration: toConfigurationMessage(declared) };
        const err = ConnectError.from(await operator.applyConfiguration(stale).catch((reason: unknown) => reason));
        assert.equal(err.code, Code.Aborted);
        const [failure] = err.findDetails(FailureSchema);
        assert.deepEqual([failure?.kind, failure?.presentRevision], ["revisionConflict", 1]);
    });

    test(`refuses an unauthenticated call over ${protocol}`, async t => {
        const { url, coordinator } = await start(t);
        for (const key of ["", "wrong", `${fleetKey}0`]) {
            const unauthenticated = createOperator(t, protocol, url, key);
            assert.equal(await codeOf(unauthenticated.takeZoneOut({ name: "a", changeId: "x" })), Code.Unauthenticated);
            const changeId = "x".repeat(200_000);
            assert.equal(await codeOf(unauthenticated.takeZoneOut({ name: "a", changeId })), Code.Unauthenticated);
        }
        assert.equal(coordinator.present.revision, 1);
    });

    test(`refuses an oversized message over ${protocol} and keeps serving`, async t => {
        const { url } = await start(t);
        const operator = createOperator(t, protocol, url);
        const changeId = "x".repeat(200_000);
        assert.equal(await codeOf(operator.takeZoneOut({ name: "a", changeId })), Code.ResourceExhausted);
        assert.equal(await codeOf(operator.getStanding({})), "answered");
    });

    test(`a planned stop lets a call over ${protocol} finish`, async t => {
        // A planned stop begins while a zone change waits to come into force. Its response must still be complete, as
        // the operator otherwise wouldn't know whether the zone is out. New calls are refused, so that the stop ends.
        const { url, coordinator, server } = await start(t);
        const operator = createOperator(t, protocol, url);
        let finish: () => void = () => undefined;
        const waiting = new Promise<void>(reached => {
            coordinator.beforeStep = step =>
                step !== "answer" ? Promise.resolve() : new Promise(resolve => {
                    finish = resolve;
                    reached();
                });
        });
        const call = operator.takeZoneOut({ name: "a", changeId: "x" });
        await waiting;
        const stopped = server.stop();
        const lateOperator = createOperator(t, protocol, url);
        assert.equal(await codeOf(lateOperator.getStanding({})), Code.Unavailable);
        finish();
        assert.equal((await call).standing?.revision, 2);
        await stopped;
    });

    test(`watches changes over ${protocol} until a planned stop`, async t => {
        const { url, server, signal } = await start(t);
        const operator = createOperator(t, protocol, url);
        const revisions: (number | undefined)[] = [];
        const watch = (async () => {
            for await (const { event } of operator.watchChanges({})) {
                revisions.push(event.case === "standing" ? event.value.revision : undefined);
                if (revisions.length === 1) {
                    await operator.takeZoneOut({ name: "a", changeId: "x" });
                    signal.announce();
                }
                else {
                    void server.stop();
                }
            }
        })();
        assert.equal(await codeOf(watch), Code.Unavailable);
        assert.deepEqual(revisions, [1, 2]);
    });
}

test("a planned stop doesn't truncate a response that is read slowly", async t => {
    // A client pauses while it reads a large response. The response has ended, but part of it is still in the socket's
    // buffer when the stop begins. Node treats such a connection as idle and would destroy it.
    const { coordinator, port, server } = await start(t);
    const zones = Array.from(
        { length: 200_000 },
        (_, i) => ({ name: `zone-${i}`, region: "local", state: "in" as const }),
    );
    const configuration = { ...coordinator.present.configuration, availabilityZones: zones };
    coordinator.history.push({ revision: 2, changeId: "large", configuration });
    const socket = await openSocket(t, port);
    socket.pause();
    socket.write(createPost("GetConfiguration", "{}"));
    // The handler has finished its response before the first bytes arrive.
    await once(socket, "readable");
    const stopped = server.stop();
    const chunks: Buffer[] = [];
    socket.on("data", chunk => chunks.push(chunk));
    socket.resume();
    await once(socket, "close");
    const answer = Buffer.concat(chunks).toString("latin1");
    const [head = "", body = ""] = answer.split("\r\n\r\n", 2);
    assert.match(head, /^HTTP\/1.1 200/);
    assert.match(body, /"zone-199999"/);
    await stopped;
});

test("a planned stop ends after the drain timeout, whatever is in flight", async t => {
    const { url, coordinator, server } = await start(t, { drainMs: 50 });
    const waiting = new Promise<void>(reached => {
        coordinator.beforeStep = () => {
            reached();
            return new Promise(() => undefined);
        };
    });
    const call = codeOf(createOperator(t, "gRPC", url).getStanding({}));
    await waiting;
    await server.stop();
    assert.notEqual(await call, "answered");
});

test("malformed bytes don't affect other clients", async t => {
    // Clients send bytes that aren't HTTP, part of an HTTP/2 preface, a TLS hello, a request without a host, and one
    // with an invalid host. An unhandled error event or exception would end the process and all operators' calls.
    const { port, url } = await start(t, { requestTimeoutMs: 200 });
    assert.match(await exchange(t, port, "\x16\x03\x01\x02\x00\x01\x00\x01"), /400 Bad Request/);
    assert.match(await exchange(t, port, "no http\r\n\r\n"), /400 Bad Request/);
    assert.equal(await exchange(t, port, "PRI * HT"), "");
    await exchange(t, port, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nno frame at all, but long enough to be read as one");
    const authorization = `authorization: Bearer ${fleetKey}\r\n\r\n`;
    assert.match(
        await exchange(t, port, `POST ${path("GetStanding")} HTTP/1.0\r\n${authorization}`),
        /400 Bad Request/,
    );
    assert.match(
        await exchange(t, port, `POST ${path("GetStanding")} HTTP/1.1\r\nhost: a b\r\n${authorization}`),
        /400 Bad/,
    );
    const resetSocket = await openSocket(t, port);
    resetSocket.write("PRI");
    // When this call is answered, the server has accepted the connection before it.
    assert.equal(await codeOf(createOperator(t, "gRPC", url).getStanding({})), "answered");
    resetSocket.resetAndDestroy();
    for (const protocol of protocols) {
        assert.equal(await codeOf(createOperator(t, protocol, url).getStanding({})), "answered");
    }
});

test("refuses headers beyond their limit, unknown calls, unknown fields and broken messages", async t => {
    const { port, url } = await start(t, { requestTimeoutMs: 200 });
    const large = `x-large: ${"x".repeat(20_000)}`;
    assert.match(await exchange(t, port, createPost("GetStanding", "{}", [large])), /^HTTP\/1.1 431 /);
    const close = "connection: close";
    assert.match(await exchange(t, port, createPost("Nothing", "{}", [close])), /^HTTP\/1.1 404 /);
    const misspelt = createPost("TakeZoneOut", "{\"name\":\"a\",\"changeId\":\"x\",\"expectedRevison\":1}", [close]);
    assert.match(await exchange(t, port, misspelt), /^HTTP\/1.1 400 [^]*expectedRevison/);
    assert.match(await exchange(t, port, createPost("TakeZoneOut", "{", [close])), /^HTTP\/1.1 400 /);
    assert.equal(await codeOf(createOperator(t, "gRPC", url).getStanding({})), "answered");
});

test("unauthenticated connections are closed, so that operators can connect", async t => {
    // Unauthenticated clients open all connections that the server allows and send nothing, or start HTTP/2 without a
    // call. Without a time limit they would stay, and operators' connections would be closed on arrival.
    const { port, url } = await start(t, { maximumConnections: 4, requestTimeoutMs: 200 });
    const preface = Buffer.from("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0", "latin1");
    const sockets: Socket[] = [];
    for (const bytes of [preface, preface, Buffer.from("P"), Buffer.from("POST / HTTP/1.1\r\nx: ")]) {
        const socket = await openSocket(t, port);
        socket.resume();
        socket.write(bytes);
        sockets.push(socket);
    }
    for (const socket of sockets) {
        await (socket.closed ? undefined : once(socket, "close"));
    }
    assert.equal(await codeOf(createOperator(t, "gRPC", url).getStanding({})), "answered");
});

test("a request whose body never ends is aborted", async t => {
    const { port } = await start(t, { requestTimeoutMs: 200 });
    const unfinished = createPost("GetStanding", "{}").replace("content-length: 2", "content-length: 9");
    assert.doesNotMatch(await exchange(t, port, unfinished), /200 OK/);
});

test("limits concurrent watches, and allows another once one has ended", async t => {
    const { url } = await start(t);
    const operator = createOperator(t, "Connect over HTTP/2", url);
    const openWatch = async (abort: AbortController) => {
        const { done } = await operator.watchChanges({}, { signal: abort.signal })[Symbol.asyncIterator]().next();
        assert.equal(done, false);
    };
    const first = new AbortController();
    const others = new AbortController();
    await openWatch(first);
    await openWatch(others);
    assert.equal(await codeOf(openWatch(others)), Code.ResourceExhausted);
    first.abort();
    while (await codeOf(openWatch(others)) === Code.ResourceExhausted) {
        // The server notices the end of the watch with a delay.
    }
    others.abort();
});

test("a watcher is sent the failure to read the standing, and the watch continues", async t => {
    const { url, coordinator, signal } = await start(t);
    const seen: (string | undefined)[] = [];
    for await (const { event } of createOperator(t, "gRPC", url).watchChanges({})) {
        seen.push(event.case === "failure" ? event.value.detail : event.case);
        const shouldFail = seen.length === 1;
        coordinator.beforeStep = () => shouldFail ? Promise.reject(new Error("out of order")) : Promise.resolve();
        signal.announce();
        if (seen.length === 3) {
            break;
        }
    }
    assert.deepEqual(seen, ["standing", "out of order", "standing"]);
});

test("logs each change with its result, and never the fleet key", async t => {
    const lines: string[] = [];
    const logger = createLogger({ process: "admin", level: "info", json: true, write: line => lines.push(line) });
    const { url } = await start(t, { logger });
    const operator = createOperator(t, "gRPC", url);
    await operator.takeZoneOut({ name: "a", changeId: "x" });
    await operator.getStanding({});
    await codeOf(operator.bringZoneIn({ name: "c", changeId: "y" }));
    await operator.forgetHost({ name: "lost" });
    const logged = lines.map(line => JSON.parse(line) as Readonly<Record<string, unknown>>);
    assert.deepEqual(logged.map(({ time, process, ...rest }) => [time !== "", process, rest]), [
        [true, "admin", {
            level: "info",
            message: "call answered",
            call: "TakeZoneOut",
            zone: "a",
            changeId: "x",
            revision: 2,
            inForce: true,
        }],
        [true, "admin", {
            level: "warn",
            message: "call failed",
            call: "BringZoneIn",
            zone: "c",
            changeId: "y",
            code: "not_found",
            detail: "availability zone c is not declared; declared: a, b",
        }],
        [true, "admin", { level: "info", message: "call answered", call: "ForgetHost", host: "lost" }],
    ]);
    assert.ok(!lines.join("").includes(fleetKey));
});

test("no bytes from an unauthenticated client end the process", async t => {
    // Unauthenticated clients send random bytes, invalid HTTP/2 frames after a valid preface, and truncated requests.
    // Each connection is closed soon, and operators' calls are still answered. Failing seeds are printed.
    const { port, url } = await start(t, { requestTimeoutMs: 50, maximumConnections: 100 });
    const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const request = createPost("TakeZoneOut", "{}").replace(fleetKey, "wrong");
    const noise = fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes).toString("latin1"));
    const bytes = fc.oneof(
        noise,
        noise.map(text => preface + text),
        fc.tuple(fc.nat(request.length), noise).map(([length, text]) => request.slice(0, length) + text),
    );
    const run = fc.asyncProperty(bytes, async text => {
        assert.doesNotMatch(await exchange(t, port, text), / 200 OK/);
    });
    await fc.assert(run, { numRuns: 100 });
    assert.equal(await codeOf(createOperator(t, "gRPC", url).getStanding({})), "answered");
});
