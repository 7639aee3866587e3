import assert from "node:assert/strict";
import { test } from "node:test";
import { KeyValueEngine } from "@galenaglade/stand-ins";
import { authorityChangeDelayMs, type ColdStartHeartbeat } from "../index.js";
import { createHeartbeatResponse, createServer, createMetadata, GateDriver } from "./gateDriver.js";

const server = "service/a";
const roster = { version: 1, members: ["g1/1", "g2/1", "g3/1"] };

function createDriver(more: Parameters<typeof createServer>[1] = {}, engine = new KeyValueEngine()): GateDriver {
    return new GateDriver("g1/1", engine, [createServer(server, more)], roster);
}

function warmUp(driver: GateDriver): void {
    driver.respond(server, driver.send(server), createMetadata("warm"));
}

test("a new gateway treats every server as cold, and sends one request at a time until one responds as warm", () => {
    const driver = createDriver();
    assert.equal(driver.maySend(server), false);
    const first = driver.send(server);
    assert.equal(driver.maySend(server), false);
    driver.respond(server, first, createMetadata("cold"));
    warmUp(driver);
    driver.send(server);
    assert.equal(driver.maySend(server), true);
});

test("a server that reports no state is warm after the configured number of consecutive good responses", () => {
    const driver = createDriver();
    for (const state of [undefined, undefined]) {
        driver.respond(server, driver.send(server), createMetadata(state));
    }
    driver.gate.onEnd(
        server,
        driver.send(server),
        { outcome: "shed", metadata: createMetadata(undefined), mayStillRun: false },
        driver.nowMs,
    );
    for (const state of [undefined, undefined]) {
        driver.respond(server, driver.send(server), createMetadata(state));
    }
    driver.send(server);
    assert.equal(driver.maySend(server), false, "the shed request restarted the count");
});

test("the limit grows with good responses up to the concurrency that the server reports, and drops with it", () => {
    const driver = createDriver();
    const bears2 = createMetadata("cold", { bears: 2 });
    driver.respond(server, driver.send(server), bears2);
    driver.respond(server, driver.send(server), bears2);
    const first = driver.send(server);
    assert.equal(driver.maySend(server), true);
    driver.respond(server, first, createMetadata("cold", { bears: 1 }));
    driver.send(server);
    assert.equal(driver.maySend(server), false);
});

// A server was idle for hours and restarted meanwhile, and the gateway still considers it warm. Three concurrent
// requests would be sent to a server that can handle one.
test("a server that was idle for a long time gets one trial request first", () => {
    const driver = createDriver({ idleMs: 10_000 });
    warmUp(driver);
    driver.advanceUntil(driver.nowMs + 12_000);
    const trial = driver.send(server);
    assert.equal(driver.maySend(server), false);
    driver.respond(server, trial, createMetadata("warm"));
    driver.send(server);
    assert.equal(driver.maySend(server), true);
});

// A cold server is overloaded: the holder's renewals fail and the store grants the permit to another gateway. The
// holder keeps contact with its peers and runs no ticks, so only the current time shows that its lease has expired.
test("an expired lease ends the permit in the same turn in which a request would be sent", () => {
    const driver = createDriver();
    driver.respond(server, driver.send(server), createMetadata("cold"));
    assert.equal(driver.maySend(server), true);
    driver.isTicking = false;
    driver.advanceUntil(driver.nowMs + 7_000);
    assert.equal(driver.maySend(server), false);
});

// A holder sends a request that may run for eight seconds and crashes. If its record has a horizon of one second, the
// next holder, which can't reach it, sends after two seconds, and the server has one request more than it can handle.
test("the record's horizon is widened in the store before a request with a later deadline is sent", () => {
    const engine = new KeyValueEngine();
    const driver = createDriver({}, engine);
    driver.respond(server, driver.send(server, 500), createMetadata("cold"));
    assert.equal(driver.maySend(server, 8_000), false);
    driver.send(server, 8_000);
    const record = engine.get(`coldStart/record/${server}`, driver.nowMs)?.value ?? "";
    assert.deepEqual(JSON.parse(record), { epoch: 0, holders: [{ gateway: "g1/1", horizonMs: 8_000 }] });
    const next = new GateDriver("g4/1", engine, [createServer(server)], { version: 2, members: ["g4/1"] });
    next.nowMs = driver.nowMs + 1_000;
    // The holder's lease has to expire, and then its longest request has to end.
    const sentAtMs = driver.nowMs;
    next.send(server);
    assert.ok(next.nowMs >= sentAtMs + 8_000, `sent after ${next.nowMs - sentAtMs} ms`);
});

// A gateway crashes with requests on a server that then turns cold, and leaves the roster. A gateway that joins later
// has never seen it as a member: without its peers' reports, it would send while those requests still run.
test("a new gateway counts the requests that gateways which left before it joined may have in flight", () => {
    const driver = createDriver({ maxPatienceMs: 9_000 });
    const departures = [{ gateway: "g0/1", stoppedAgoMs: 0 }];
    let isReported = false;
    const createOriginal = driver.createResponses;
    driver.createResponses = heartbeat => {
        const responses = createOriginal(heartbeat).map(response =>
            isReported ? response : { ...response, departures }
        );
        isReported = true;
        return responses;
    };
    driver.send(server);
    assert.ok(driver.nowMs >= 9_000, `sent after ${driver.nowMs} ms`);
});

// A lagging peer does not know that the server turned cold. It reports no requests in flight, then receives an old
// signal that the server is warm, and sends three requests. Its report must not count until it knows the current
// epoch.
test("a report from a peer with an older epoch doesn't count", () => {
    const driver = createDriver();
    warmUp(driver);
    driver.respond(server, driver.send(server), createMetadata("cold"));
    const createOriginal = driver.createResponses;
    const lag = (response: ColdStartHeartbeat): ColdStartHeartbeat => ({
        ...response,
        words: response.words.map(report => ({ ...report, epoch: report.epoch - 1 })),
    });
    driver.createResponses = heartbeat => createOriginal(heartbeat).map(lag);
    assert.throws(() => driver.send(server), /may not send/);
    driver.createResponses = createOriginal;
    driver.send(server);
});

// A cold server is overloaded right after a roster change: a gateway still relies on its contact under the old roster,
// but has had no contact under the new one with the gateways that may hold the permit now.
test("contact with a majority of an old roster doesn't count under the new one", () => {
    const driver = createDriver();
    warmUp(driver);
    assert.equal(driver.maySend(server), true);
    driver.gate.onRoster({ version: 2, members: ["g1/1", "g4/1", "g5/1"] }, driver.nowMs);
    assert.equal(driver.maySend(server), false);
});

// The store is down, and two gateways report to each other a lease that expired long ago. If each measured its age from
// the latest report, the lease would never expire, and no cold server would get requests until the store is back.
test("a lease that peers keep reporting to each other still expires", () => {
    const driver = createDriver();
    driver.isStoreUp = false;
    const owned = ["a", "b", "c", "d", "e", "f"].map(name => createServer(`service/${name}`));
    driver.gate.onServers(owned, 0);
    const createOriginal = driver.createResponses;
    let previousLeases: ColdStartHeartbeat["leases"] = [{ holder: "g2/1", sequence: 1, ageMs: 0 }];
    driver.createResponses = heartbeat => {
        // The peers respond with the leases of the previous round, as if delayed by 100 ms.
        const leases = previousLeases;
        previousLeases = heartbeat.leases;
        return createOriginal(heartbeat).map(response =>
            createHeartbeatResponse(response.from, 1, heartbeat, { leases })
        );
    };
    driver.advanceUntil(20_000);
    const open = (): readonly boolean[] => owned.map(each => driver.maySend(each.serverId));
    open();
    driver.advanceUntil(20_300);
    assert.ok(open().includes(true));
});

// A cold server gets two concurrent requests. The confirmation that it was warm has expired here, but a peer that
// learned late of the last response considers the server warm a little longer, and sends a request besides the trial.
test("a trial request waits until no peer can still consider the server warm", () => {
    const driver = createDriver({ idleMs: 10_000 });
    warmUp(driver);
    const provenAtMs = driver.nowMs - 10;
    driver.advanceUntil(provenAtMs + 9_900);
    const last = driver.send(server);
    assert.ok(driver.nowMs < provenAtMs + 10_000, "still confirmed warm");
    driver.respond(server, last, createMetadata("warm"));
    const idleFromMs = driver.nowMs - 10 + 10_000;
    driver.advanceUntil(idleFromMs);
    driver.send(server);
    assert.ok(driver.nowMs >= idleFromMs + authorityChangeDelayMs, `sent ${driver.nowMs - idleFromMs} ms after`);
});

// All callers of a service are refused until an operator intervenes: the permit was granted but the reply was lost, and
// the gateway waits for the holder of the key, which is itself and keeps renewing its lease.
test("a gateway recognizes by the lease a permit whose grant reply was lost", () => {
    const engine = new KeyValueEngine();
    const driver = createDriver({}, engine);
    driver.advanceUntil(3_000);
    driver.maySend(server);
    const claim = driver.gate.tick(driver.nowMs).find(command => command.type === "swap");
    assert.ok(claim?.type === "swap");
    engine.compareAndSwap(claim, driver.nowMs);
    driver.gate.onStoreReply({ command: claim, sentAtMs: driver.nowMs, outcome: { type: "failed" } }, driver.nowMs);
    driver.send(server);
});

test("a permit is released when there are no more requests for the server", () => {
    const engine = new KeyValueEngine();
    const driver = createDriver({}, engine);
    driver.respond(server, driver.send(server), createMetadata("cold"));
    assert.ok(engine.get(`coldStart/permit/${server}`, driver.nowMs));
    driver.advanceUntil(driver.nowMs + 6_000);
    assert.equal(engine.get(`coldStart/permit/${server}`, driver.nowMs), undefined);
});

test("evidence of a cold server takes effect and is signalled at once, but shedding while warm is none", () => {
    const end = { metadata: createMetadata(undefined), mayStillRun: false } as const;
    const cases = [
        { cold: true, end: { ...end, outcome: "shed" } },
        { cold: false, end: { ...end, outcome: "shed", metadata: createMetadata("warm") } },
        { cold: true, end: { ...end, outcome: "refused" } },
        { cold: true, end: { ...end, outcome: "good", metadata: createMetadata("cold") } },
        { cold: true, end: { ...end, outcome: "good", metadata: createMetadata("warm", { incarnation: "2" }) } },
        { cold: false, end: { ...end, outcome: "good", metadata: createMetadata("warm", { incarnation: "1" }) } },
    ] as const;
    for (const each of cases) {
        const driver = createDriver();
        driver.respond(server, driver.send(server), createMetadata("warm", { incarnation: "1" }));
        driver.gate.takeUrgentSignals(driver.nowMs);
        driver.gate.onEnd(server, driver.send(server), each.end, driver.nowMs);
        assert.equal(driver.maySend(server), !each.cold, JSON.stringify(each));
        const kinds = driver.gate.takeUrgentSignals(driver.nowMs).map(signal => signal.kind);
        assert.deepEqual(kinds, each.cold ? ["turnedCold"] : [], JSON.stringify(each));
    }
});

test("a much slower first response after an idle period shows that the server has turned cold", () => {
    const driver = createDriver();
    for (let i = 0; i < 5; i++) {
        driver.respond(server, driver.send(server), createMetadata(undefined));
    }
    assert.equal(driver.maySend(server), true);
    driver.advanceUntil(driver.nowMs + 11_000);
    const request = driver.send(server);
    driver.advanceUntil(driver.nowMs + 400);
    driver.respond(server, request, createMetadata(undefined));
    assert.equal(driver.maySend(server), false);
});

test("an endpoint that lags doesn't override recent responses, but takes effect without any", () => {
    const driver = createDriver();
    warmUp(driver);
    driver.gate.onReport(server, createMetadata("cold"), driver.nowMs);
    assert.equal(driver.maySend(server), true);
    driver.advanceUntil(driver.nowMs + 6_000);
    driver.gate.onReport(server, createMetadata("cold"), driver.nowMs);
    assert.equal(driver.maySend(server), false);
});

test("the servers of an availability zone are cold when it comes back", () => {
    const driver = createDriver();
    warmUp(driver);
    const declared = createServer(server);
    driver.gate.onServers([{ ...declared, isZoneInService: false }], driver.nowMs);
    assert.equal(driver.maySend(server), false);
    driver.gate.onServers([declared], driver.nowMs);
    driver.send(server);
    assert.equal(driver.maySend(server), false);
});

// A cold server is overloaded: the holder is allowed to send, opens a connection, is paused before the first byte, and
// resumes when another gateway holds the permit.
test("a request is not sent if its permission has expired by the turn of its first byte", () => {
    const driver = createDriver();
    const request = driver.send(server);
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), true);
    driver.nowMs += 7_000;
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), false);
    driver.advanceUntil(driver.nowMs + 3_000);
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), false, "under another permit");
});

test("a request is not sent if its server has turned cold or begun to leave since it was allowed", () => {
    const signals = [
        { kind: "turnedCold", epoch: 1 },
        { kind: "leaving", epoch: 0 },
    ] as const;
    for (const signal of signals) {
        const driver = createDriver();
        warmUp(driver);
        const request = driver.send(server);
        assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), true);
        driver.gate.onSignal({ ...signal, serverId: server, incarnation: undefined, ageMs: 0 }, driver.nowMs);
        assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), false, signal.kind);
    }
});

const depth = 300_000;
const oddRecords: Readonly<Record<string, string>> = {
    "no JSON": "{",
    "null": "null",
    "a list": "[]",
    "no holders": "{\"epoch\":1}",
    "holders of another type": "{\"epoch\":1,\"holders\":{}}",
    "an endless horizon": "{\"epoch\":1,\"holders\":[{\"gateway\":\"g0/1\",\"horizonMs\":1e308}]}",
    "an epoch that is no number": "{\"epoch\":\"1\",\"holders\":[]}",
    "an epoch that is too large": "{\"epoch\":1e400,\"holders\":[]}",
    "a nested list": "[".repeat(depth) + "]".repeat(depth),
};

for (const [name, value] of Object.entries(oddRecords)) {
    // Guards against a gateway that ends, or never sends to a server again, because of a record that it can't read.
    test(`a permit record with ${name} delays the first request by the longest patience at most`, () => {
        const engine = new KeyValueEngine();
        engine.compareAndSwap({ key: `coldStart/record/${server}`, expectedRevision: 0, value }, 0);
        const driver = createDriver({ maxPatienceMs: 9_000 }, engine);
        driver.respond(server, driver.send(server), createMetadata("cold"));
        assert.ok(driver.nowMs < 20_000, `sent after ${driver.nowMs} ms`);
    });
}
