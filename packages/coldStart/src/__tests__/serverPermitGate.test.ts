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

test("a fresh gateway takes every server for cold, and sends one request at a time until an answer says warm", () => {
    const driver = createDriver();
    assert.equal(driver.maySend(server), false);
    const first = driver.send(server);
    assert.equal(driver.maySend(server), false);
    driver.respond(server, first, createMetadata("cold"));
    warmUp(driver);
    driver.send(server);
    assert.equal(driver.maySend(server), true);
});

test("without the server's word it counts as warm after the configured number of good answers in a row", () => {
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
    assert.equal(driver.maySend(server), false, "the refusal began the count anew");
});

test("the limit grows with good answers up to what the server says that it bears, and falls with it at once", () => {
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

// A caller's request reaches a server that nobody has used all night and that was restarted meanwhile. The gateway
// still has it down as warm; three requests at once would fall on a server that bears one.
test("a server idle for long gets one trial request first", () => {
    const driver = createDriver({ idleMs: 10_000 });
    warmUp(driver);
    driver.advanceUntil(driver.nowMs + 12_000);
    const trial = driver.send(server);
    assert.equal(driver.maySend(server), false);
    driver.respond(server, trial, createMetadata("warm"));
    driver.send(server);
    assert.equal(driver.maySend(server), true);
});

// A cold server is given too much: the holder's renewals fail while the store gives the key to another. The holder
// hears from its peers all the time and does nothing but ask whether it may send, so only the time shows.
test("the lease's time ends the permit in the very turn in which a request would be sent", () => {
    const driver = createDriver();
    driver.respond(server, driver.send(server), createMetadata("cold"));
    assert.equal(driver.maySend(server), true);
    driver.isTicking = false;
    driver.advanceUntil(driver.nowMs + 7_000);
    assert.equal(driver.maySend(server), false);
});

// A holder sends a request that may run for eight seconds and vanishes at once. Its record said one second, so the next
// holder, which can't ask it any more, sends after two, and the server has one more than it bears.
test("the record is widened in the store before a request with a later deadline is sent", () => {
    const engine = new KeyValueEngine();
    const driver = createDriver({}, engine);
    driver.respond(server, driver.send(server, 500), createMetadata("cold"));
    assert.equal(driver.maySend(server, 8_000), false);
    driver.send(server, 8_000);
    const record = engine.get(`coldStart/record/${server}`, driver.nowMs)?.value ?? "";
    assert.deepEqual(JSON.parse(record), { epoch: 0, holders: [{ gateway: "g1/1", horizonMs: 8_000 }] });
    const next = new GateDriver("g4/1", engine, [createServer(server)], { version: 2, members: ["g4/1"] });
    next.nowMs = driver.nowMs + 1_000;
    // The holder's key has to lapse, and then its longest request.
    const sentAtMs = driver.nowMs;
    next.send(server);
    assert.ok(next.nowMs >= sentAtMs + 8_000, `sent after ${next.nowMs - sentAtMs} ms`);
});

// A gateway dies with requests on a server that then turns cold, and leaves the roster. A gateway that came later never
// saw it as a member; its peers have to tell, or it sends while those requests still run.
test("a fresh gateway counts what gateways that left before it came may have in flight", () => {
    const driver = createDriver({ maxPatienceMs: 9_000 });
    const departures = [{ gateway: "g0/1", stoppedAgoMs: 0 }];
    let isTold = false;
    const plain = driver.createResponses;
    driver.createResponses = word => {
        const answers = plain(word).map(answer => isTold ? answer : { ...answer, departures });
        isTold = true;
        return answers;
    };
    driver.send(server);
    assert.ok(driver.nowMs >= 9_000, `sent after ${driver.nowMs} ms`);
});

// A peer that lags has not heard that the server turned cold, says that it has nothing there, hears an old word that
// the server is warm, and sends three requests. Its word counts only if it knows of the same turn to cold.
test("the word of a peer that knows of fewer turns to cold doesn't count", () => {
    const driver = createDriver();
    warmUp(driver);
    driver.respond(server, driver.send(server), createMetadata("cold"));
    const plain = driver.createResponses;
    const lag = (answer: ColdStartHeartbeat): ColdStartHeartbeat => ({
        ...answer,
        words: answer.words.map(word => ({ ...word, epoch: word.epoch - 1 })),
    });
    driver.createResponses = word => plain(word).map(lag);
    assert.throws(() => driver.send(server), /may not send/);
    driver.createResponses = plain;
    driver.send(server);
});

// A cold server is given more than it bears right after a change of the roster. The last contact under the old one
// still counts for a gateway that, under the new one, hasn't heard from anybody yet who may hold the permit now.
test("contact with a majority of an old roster ends with it", () => {
    const driver = createDriver();
    warmUp(driver);
    assert.equal(driver.maySend(server), true);
    driver.gate.onRoster({ version: 2, members: ["g1/1", "g4/1", "g5/1"] }, driver.nowMs);
    assert.equal(driver.maySend(server), false);
});

// The store is down for all, two gateways tell each other of a lease that lapsed long ago, and each dates it from when
// it heard of it. It would never grow old, and no server that turned cold would get any work until the store is back.
test("a lease that is told to and fro grows old all the same", () => {
    const driver = createDriver();
    driver.isStoreUp = false;
    const owned = ["a", "b", "c", "d", "e", "f"].map(name => createServer(`service/${name}`));
    driver.gate.onServers(owned, 0);
    const plain = driver.createResponses;
    let told: ColdStartHeartbeat["leases"] = [{ holder: "g2/1", sequence: 1, ageMs: 0 }];
    driver.createResponses = word => {
        // The peers answer with what they were told a round before, as if it had been 100 ms on the way.
        const leases = told;
        told = word.leases;
        return plain(word).map(answer => createHeartbeatResponse(answer.from, 1, word, { leases }));
    };
    driver.advanceUntil(20_000);
    const open = (): readonly boolean[] => owned.map(each => driver.maySend(each.serverId));
    open();
    driver.advanceUntil(20_300);
    assert.ok(open().includes(true));
});

// The trial finds a cold server with two requests. The evidence that it was warm ran out; a peer that heard of the last
// answer late takes it for fresh a little longer, says so to nobody, and sends once more beside the trial.
test("a trial waits until no peer can still take the server for warm", () => {
    const driver = createDriver({ idleMs: 10_000 });
    warmUp(driver);
    const provenAtMs = driver.nowMs - 10;
    driver.advanceUntil(provenAtMs + 9_900);
    const last = driver.send(server);
    assert.ok(driver.nowMs < provenAtMs + 10_000, "warm until then");
    driver.respond(server, last, createMetadata("warm"));
    const idleFromMs = driver.nowMs - 10 + 10_000;
    driver.advanceUntil(idleFromMs);
    driver.send(server);
    assert.ok(driver.nowMs >= idleFromMs + authorityChangeDelayMs, `sent ${driver.nowMs - idleFromMs} ms after`);
});

// Every caller of a service is refused until a person looks: the permit was granted and the answer lost, the gateway
// sees the key taken, and waits for a holder that is itself and renews its lease for ever.
test("a permit whose grant was lost on the way is known again by its lease", () => {
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

test("a permit is given up when nobody asks for the server any more", () => {
    const engine = new KeyValueEngine();
    const driver = createDriver({}, engine);
    driver.respond(server, driver.send(server), createMetadata("cold"));
    assert.ok(engine.get(`coldStart/permit/${server}`, driver.nowMs));
    driver.advanceUntil(driver.nowMs + 6_000);
    assert.equal(engine.get(`coldStart/permit/${server}`, driver.nowMs), undefined);
});

test("signs of turning cold take a server out at once, and are told to peers; shedding while warm is no such sign", () => {
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

test("a first answer after a silence that is far slower than usual is a sign of turning cold", () => {
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

test("an endpoint that still says cold doesn't contradict newer answers, and is believed when none come", () => {
    const driver = createDriver();
    warmUp(driver);
    driver.gate.onReport(server, createMetadata("cold"), driver.nowMs);
    assert.equal(driver.maySend(server), true);
    driver.advanceUntil(driver.nowMs + 6_000);
    driver.gate.onReport(server, createMetadata("cold"), driver.nowMs);
    assert.equal(driver.maySend(server), false);
});

test("the servers of an availability zone that comes back count as cold", () => {
    const driver = createDriver();
    warmUp(driver);
    const declared = createServer(server);
    driver.gate.onServers([{ ...declared, isZoneInService: false }], driver.nowMs);
    assert.equal(driver.maySend(server), false);
    driver.gate.onServers([declared], driver.nowMs);
    driver.send(server);
    assert.equal(driver.maySend(server), false);
});

// A cold server is given too much by a holder that asked in time, opened a connection, was stopped before the first byte
// and went on when another held the permit.
test("what allowed a request is asked again in the turn of its first byte", () => {
    const driver = createDriver();
    const request = driver.send(server);
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), true);
    driver.nowMs += 7_000;
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), false);
    driver.advanceUntil(driver.nowMs + 3_000);
    assert.equal(driver.gate.mayStillSend(server, request, driver.nowMs), false, "under another permit");
});

test("a request for a server that has turned cold or begun to leave since isn't handed over", () => {
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
