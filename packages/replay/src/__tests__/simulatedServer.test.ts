import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventQueue, type ServerShape, SimulatedServer } from "../index.js";

const shape: ServerShape = {
    slots: 3,
    queue: 1,
    kneeShare: 0.8,
    kneeFactor: 2,
    slowShare: 0,
    slowFactor: 1,
    shiftMs: 300,
    coldFactor: 3,
    onFull: "reset",
};

function createServer(events: EventQueue): SimulatedServer {
    return new SimulatedServer(
        {
            id: "server-0",
            service: "tables",
            address: { host: "127.0.0.1", port: 1 },
            availabilityZone: "north",
            slots: shape.slots,
            state: "ready",
            coldRemainingMs: 0,
            startedAtEpochMs: undefined,
        },
        shape,
        events,
        createRandomSource(1),
    );
}

/** @returns end times of requests that arrive together, without those that the server rejected */
function runRequests(count: number, prepare: (server: SimulatedServer) => void = () => undefined): readonly number[] {
    const events = new EventQueue();
    const server = createServer(events);
    const done: number[] = [];
    prepare(server);
    for (let i = 0; i < count; i++) {
        server.receive({ workMs: 100, onDone: () => done.push(Math.round(events.nowMs)) });
    }
    events.runUntil(2_000, 10_000);
    return done;
}

test("requests take their usual time below the knee, and all of them take longer above it", () => {
    assert.deepEqual(runRequests(2), [100, 100]);
    assert.deepEqual(runRequests(3), [200, 200, 200]);
});

test("a request waits if all slots are busy, and its connection is reset if the queue is full", () => {
    assert.deepEqual(runRequests(4), [200, 200, 200, 300]);
    assert.equal(runRequests(5).length, 4);
});

test("a cold server is slower and counts the requests that reach it", () => {
    const events = new EventQueue();
    const server = createServer(events);
    server.coldUntilMs = 1_000;
    let doneAtMs = 0;
    const job = { workMs: 100, onDone: () => doneAtMs = events.nowMs };
    server.receive(job);
    events.runUntil(2_000, 10_000);
    assert.equal(doneAtMs, 300);
    assert.equal(server.findMaxColdArrivalsPerSecond(), 1);
});

test("an abandoned request frees its slot for the next one in the queue", () => {
    const events = new EventQueue();
    const server = createServer(events);
    const done: string[] = [];
    const jobs = ["a", "b", "c", "d"].map(name => ({ workMs: 100, onDone: () => done.push(name) }));
    jobs.forEach(job => server.receive(job));
    const [first] = jobs;
    assert.ok(first);
    server.abandon(first);
    assert.equal(server.running, 3);
    events.runUntil(2_000, 10_000);
    assert.deepEqual(done.sort(), ["b", "c", "d"]);
});
