import assert from "node:assert/strict";
import { test } from "node:test";
import { type RegisteredServer, type ServiceRules } from "@galenaglade/fleet-state";
import { createRandomSource } from "@galenaglade/routing";
import {
    type FleetSnapshot,
    type LoadReport,
    PlacementState,
    type SearchInput,
    type SearchStep,
    ServerSearch,
} from "../index.js";

const rules: ServiceRules = {
    name: "tables",
    healthPath: "/health",
    maximumConnections: 200,
    coldRequestsPerSecond: 4,
};
const objectiveMs = 400;
const idle: LoadReport = { running: 0, waiting: 0, slots: 6, slowdown: 1 };
const full: LoadReport = { running: 6, waiting: 4, slots: 6, slowdown: 1 };

function createServer(id: string): RegisteredServer {
    return {
        id,
        service: "tables",
        address: { host: "127.0.0.1", port: 1 },
        availabilityZone: "north",
        slots: 6,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    };
}

const servers = ["a", "b", "c", "d", "e", "f"].map(createServer);

function createState(probesPerServerAndSecond = 60): PlacementState {
    return new PlacementState({
        name: "gateway-1",
        availabilityZone: "north",
        random: createRandomSource(1),
        probesPerServerAndSecond,
        startedAtMs: -10_000,
    });
}

function createSnapshot(nowMs: number, usable: readonly RegisteredServer[] = servers): FleetSnapshot {
    return { usable, gateways: ["gateway-1"], zoneGateways: ["gateway-1"], sinceStoreContactMs: 0, nowMs };
}

function search(state: PlacementState, overrides: Partial<SearchInput> = {}): ServerSearch {
    return new ServerSearch(state, {
        rules,
        objectiveMs,
        priority: 0,
        arrivedAtMs: 0,
        cutoffMs: 2_000,
        triedServers: new Set(),
        onlyGood: false,
        ...overrides,
    });
}

function reportStatus(state: PlacementState, id: string, load: LoadReport, atMs: number, coldRemainingMs = 0): void {
    const status = { serverId: id, availabilityZone: "north", load, slots: 6, healthy: true, coldRemainingMs };
    state.onProbeResponse("tables", status, atMs);
}

function expectProbe(step: SearchStep): readonly string[] {
    if (step.type !== "ask") {
        assert.fail(`expected a probe, got ${step.type}`);
    }
    return step.servers.map(({ id }) => id);
}

test("a request probes two of six unknown servers, and is sent to the good one", () => {
    const state = createState();
    const request = search(state);
    const [first = "", second = ""] = expectProbe(request.step(createSnapshot(0)));
    reportStatus(state, first, full, 0);
    reportStatus(state, second, idle, 0);
    const step = request.step(createSnapshot(5));
    assert.equal(step.type === "send" && step.server.id, second);
});

// Guards against a gateway whose CPU is busy with probes alone, when all callers return at once after a power failure
// and requests arrive every few milliseconds.
test("a request that arrives a moment after another one is sent to a good server without a probe", () => {
    const state = createState();
    reportStatus(state, "c", idle, 0);
    const step = search(state, { arrivedAtMs: 10 }).step(createSnapshot(10));
    assert.ok(step.type === "send" && step.server.id === "c" && step.ageMs === 10);
});

test("requests sent since the last status count as load, so that not all requests of a moment go to one server", () => {
    const state = createState();
    reportStatus(state, "c", idle, 0);
    const steps = Array.from({ length: 12 }, () => search(state, { arrivedAtMs: 5 }).step(createSnapshot(5)).type);
    assert.ok(steps.filter(type => type === "send").length <= 4, steps.join(" "));
});

test("a server with an old status is probed again", () => {
    const state = createState();
    reportStatus(state, "c", idle, 0);
    assert.ok(expectProbe(search(state, { arrivedAtMs: 500 }).step(createSnapshot(500))).length > 0);
});

// Guards against probes beyond the allowance, and against rejecting a request before any server's load is known, once
// the budget was used up while all servers were full.
test("without probe budget, a request waits for a probe while it can still be in time", () => {
    const state = createState(1);
    while (search(state).step(createSnapshot(0)).type === "ask") {
        // Uses up the probe budget.
    }
    const request = search(state);
    assert.equal(request.step(createSnapshot(0)).type, "pause");
    assert.equal(request.step(createSnapshot(150)).type, "pause");
    const lastStep = request.step(createSnapshot(390));
    assert.ok(lastStep.type === "refuse" && lastStep.reason === "noOffer");
});

test("the probe result of another request is used by one that may not probe", () => {
    const state = createState(1);
    while (search(state).step(createSnapshot(0)).type === "ask") {
        // Uses up the probe budget.
    }
    reportStatus(state, "d", { ...idle, running: 2 }, 0);
    const step = search(state, { arrivedAtMs: 40 }).step(createSnapshot(40));
    assert.equal(step.type === "send" && step.server.id, "d");
});

// Guards against overload of a server that has become cold, which only probe responses report. If the load in its
// responses to requests were enough, all gateways would keep sending to it without a probe.
test("a server whose status comes from responses to requests alone is probed before it gets more requests", () => {
    const state = createState();
    const onlyServer = createServer("a");
    reportStatus(state, "a", idle, 0);
    for (let nowMs = 20; nowMs <= 1_000; nowMs += 20) {
        state.onLoadReport("tables", onlyServer, idle, nowMs);
    }
    assert.deepEqual(expectProbe(search(state, { arrivedAtMs: 1_005 }).step(createSnapshot(1_005, [onlyServer]))), [
        "a",
    ]);
    const lastSearch = search(state, { arrivedAtMs: 900 });
    assert.deepEqual(expectProbe(lastSearch.step(createSnapshot(1_005, [onlyServer]))), ["a"]);
    assert.notEqual(lastSearch.step(createSnapshot(1_006, [onlyServer])).type, "send");
});

test("a cold server gets no request from a gateway that isn't one of its owners", () => {
    const state = createState();
    reportStatus(state, "a", idle, 0, 3_000);
    const snapshot = { ...createSnapshot(20, [createServer("a")]), gateways: ["gateway-2", "gateway-3"] };
    for (let i = 0; i < 3; i++) {
        assert.notEqual(search(state, { arrivedAtMs: 20 }).step(snapshot).type, "send");
    }
});

test("a hedged request accepts only a good server, and searches only once", () => {
    const state = createState();
    const hedge = search(state, { onlyGood: true });
    for (const id of expectProbe(hedge.step(createSnapshot(0)))) {
        reportStatus(state, id, { ...idle, slowdown: 2 }, 0);
    }
    let step = hedge.step(createSnapshot(5));
    while (step.type === "ask") {
        for (const { id } of step.servers) {
            reportStatus(state, id, { ...idle, slowdown: 2 }, 5);
        }
        step = hedge.step(createSnapshot(10));
    }
    assert.ok(step.type === "refuse" && step.reason === "noneGood");
});

// Guards against rejecting all priorities at the same rate while slots are scarce. One in four requests has high
// priority.
test("requests of low priority leave as many slots free as those of high priority need", () => {
    const state = createState();
    const onlyServer = [createServer("a")];
    for (let i = 0; i < 100; i++) {
        state.onRequest("tables", i % 4 === 0 ? 0 : 2, i * 10);
    }
    const nearlyFull = { ...idle, running: 5 };
    const place = (priority: number): string => {
        const request = search(state, { priority, arrivedAtMs: 1_000 });
        const firstStep = request.step(createSnapshot(1_000, onlyServer));
        if (firstStep.type === "ask") {
            reportStatus(state, "a", nearlyFull, 1_000);
        }
        return request.step(createSnapshot(1_005, onlyServer)).type;
    };
    assert.equal(place(2), "pause");
    assert.equal(place(0), "send");
});

test("if all requests have the same priority, no slots are reserved", () => {
    const state = createState();
    for (let i = 0; i < 100; i++) {
        state.onRequest("tables", 2, i * 10);
    }
    const onlyServer = [createServer("a")];
    const request = search(state, { priority: 2, arrivedAtMs: 1_000 });
    expectProbe(request.step(createSnapshot(1_000, onlyServer)));
    reportStatus(state, "a", { ...idle, running: 5 }, 1_000);
    assert.equal(request.step(createSnapshot(1_005, onlyServer)).type, "send");
});
