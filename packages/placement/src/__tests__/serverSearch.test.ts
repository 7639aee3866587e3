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

function createBoard(probesPerServerAndSecond = 60): PlacementState {
    return new PlacementState({
        name: "gateway-1",
        availabilityZone: "north",
        random: createRandomSource(1),
        probesPerServerAndSecond,
        startedAtMs: -10_000,
    });
}

function look(nowMs: number, usable: readonly RegisteredServer[] = servers): FleetSnapshot {
    return { usable, gateways: ["gateway-1"], zoneGateways: ["gateway-1"], sinceStoreContactMs: 0, nowMs };
}

function search(board: PlacementState, more: Partial<SearchInput> = {}): ServerSearch {
    return new ServerSearch(board, {
        rules,
        objectiveMs,
        priority: 0,
        arrivedAtMs: 0,
        cutoffMs: 2_000,
        triedServers: new Set(),
        onlyGood: false,
        ...more,
    });
}

function tell(board: PlacementState, id: string, load: LoadReport, atMs: number, coldRemainingMs = 0): void {
    const offer = { serverId: id, availabilityZone: "north", load, slots: 6, healthy: true, coldRemainingMs };
    board.onProbeResponse("tables", offer, atMs);
}

function expectAsk(step: SearchStep): readonly string[] {
    if (step.type !== "ask") {
        assert.fail(`${step.type} in place of a question`);
    }
    return step.servers.map(({ id }) => id);
}

test("a request asks two of six unknown servers, and goes to the good one", () => {
    const board = createBoard();
    const request = search(board);
    const [first = "", second = ""] = expectAsk(request.step(look(0)));
    tell(board, first, full, 0);
    tell(board, second, idle, 0);
    const step = request.step(look(5));
    assert.equal(step.type === "send" && step.server.id, second);
});

// After a power cut every caller comes back at once, and a gateway gets a request every few milliseconds. Each asking for
// itself, its processor would be busy with questions alone.
test("a request that comes a moment after another one goes to a good server without a question", () => {
    const board = createBoard();
    tell(board, "c", idle, 0);
    const step = search(board, { arrivedAtMs: 10 }).step(look(10));
    assert.ok(step.type === "send" && step.server.id === "c" && step.ageMs === 10);
});

test("what was sent since counts, so that not all requests of a moment go to one server", () => {
    const board = createBoard();
    tell(board, "c", idle, 0);
    const ends = Array.from({ length: 12 }, () => search(board, { arrivedAtMs: 5 }).step(look(5)).type);
    assert.ok(ends.filter(type => type === "send").length <= 4, ends.join(" "));
});

test("what was said long ago is asked again", () => {
    const board = createBoard();
    tell(board, "c", idle, 0);
    assert.ok(expectAsk(search(board, { arrivedAtMs: 500 }).step(look(500))).length > 0);
});

// The gateway has used up its questions while all servers were full. A request that arrives then must neither get one
// beyond the allowance nor be refused before anything is known.
test("without a question left, a request waits for one while it can still be in time", () => {
    const board = createBoard(1);
    while (search(board).step(look(0)).type === "ask") {
        // Until none is left.
    }
    const request = search(board);
    assert.equal(request.step(look(0)).type, "pause");
    assert.equal(request.step(look(150)).type, "pause");
    const late = request.step(look(390));
    assert.ok(late.type === "refuse" && late.reason === "noOffer");
});

test("what another request was told serves one that may not ask", () => {
    const board = createBoard(1);
    while (search(board).step(look(0)).type === "ask") {
        // Until none is left.
    }
    tell(board, "d", { ...idle, running: 2 }, 0);
    const step = search(board, { arrivedAtMs: 40 }).step(look(40));
    assert.equal(step.type === "send" && step.server.id, "d");
});

// A server turns cold, which it says only when it is asked, and goes on answering requests with its load. Taken for word of
// itself, each answer would bring the next request unasked, from every gateway at once, and the server would fall over.
test("a server whose answers alone tell its load is asked before it gets more", () => {
    const board = createBoard();
    const only = createServer("a");
    tell(board, "a", idle, 0);
    for (let nowMs = 20; nowMs <= 1_000; nowMs += 20) {
        board.onLoadReport("tables", only, idle, nowMs);
    }
    assert.deepEqual(expectAsk(search(board, { arrivedAtMs: 1_005 }).step(look(1_005, [only]))), ["a"]);
    const lastLook = search(board, { arrivedAtMs: 900 });
    assert.deepEqual(expectAsk(lastLook.step(look(1_005, [only]))), ["a"]);
    assert.notEqual(lastLook.step(look(1_006, [only])).type, "send");
});

test("a server that said it is cold gets nothing from a gateway that doesn't own it, and no question", () => {
    const board = createBoard();
    tell(board, "a", idle, 0, 3_000);
    const sight = { ...look(20, [createServer("a")]), gateways: ["gateway-2", "gateway-3"] };
    for (let i = 0; i < 3; i++) {
        assert.notEqual(search(board, { arrivedAtMs: 20 }).step(sight).type, "send");
    }
});

test("a hedge takes none but a good server, and looks once", () => {
    const board = createBoard();
    const hedge = search(board, { onlyGood: true });
    for (const id of expectAsk(hedge.step(look(0)))) {
        tell(board, id, { ...idle, slowdown: 2 }, 0);
    }
    let step = hedge.step(look(5));
    while (step.type === "ask") {
        for (const { id } of step.servers) {
            tell(board, id, { ...idle, slowdown: 2 }, 5);
        }
        step = hedge.step(look(10));
    }
    assert.ok(step.type === "refuse" && step.reason === "noneGood");
});

// A service is short of slots. One in four requests is urgent; without slots left to them they are turned away as often as
// the others.
test("less urgent requests leave slots to urgent ones, as many as these need", () => {
    const board = createBoard();
    const only = [createServer("a")];
    for (let i = 0; i < 100; i++) {
        board.onRequest("tables", i % 4 === 0 ? 0 : 2, i * 10);
    }
    const nearlyFull = { ...idle, running: 5 };
    const place = (rank: number): string => {
        const request = search(board, { priority: rank, arrivedAtMs: 1_000 });
        const asked = request.step(look(1_000, only));
        if (asked.type === "ask") {
            tell(board, "a", nearlyFull, 1_000);
        }
        return request.step(look(1_005, only)).type;
    };
    assert.equal(place(2), "pause");
    assert.equal(place(0), "send");
});

test("where all requests are alike, nothing is left free", () => {
    const board = createBoard();
    for (let i = 0; i < 100; i++) {
        board.onRequest("tables", 2, i * 10);
    }
    const only = [createServer("a")];
    const request = search(board, { priority: 2, arrivedAtMs: 1_000 });
    expectAsk(request.step(look(1_000, only)));
    tell(board, "a", { ...idle, running: 5 }, 1_000);
    assert.equal(request.step(look(1_005, only)).type, "send");
});
