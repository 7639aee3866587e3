import { checkQueryOfDeath } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { deadlyPath, DyingServers } from "./support/dyingServers.js";
import { LinkedStore } from "./support/linkedStore.js";
import { MemoryStore } from "./support/memoryStore.js";
import { createConfiguration, eventually, startEdge, type TestEdge, whenReady } from "./support/testEdge.js";

const bounds = { crashes: 3, settleMs: 3_000, retries: 3 };
const servers = 6;

interface DyingFleet {
    readonly store: MemoryStore;
    readonly servers: DyingServers;
    readonly edges: readonly TestEdge[];
    readonly links: readonly LinkedStore[];
}

/** Gateways over one store, before servers that end under one path. */
async function startDyingFleet(t: TestContext, gateways: number): Promise<DyingFleet> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const dying = new DyingServers(t, store);
    for (let i = 0; i < servers; i++) {
        await dying.start();
    }
    const edges: TestEdge[] = [];
    const links: LinkedStore[] = [];
    for (let i = 0; i < gateways; i++) {
        const link = new LinkedStore(store);
        links.push(link);
        edges.push(await startEdge(t, link, { name: `edge-${i}` }));
    }
    await Promise.all(edges.map(whenReady));
    await eventually(
        () => edges.every(({ logs }) => logs.filter(line => line["subject"] === "gateway").length >= gateways),
        "the gateways know each other",
    );
    return { store, servers: dying, edges, links };
}

/** Sends the deadly request to one gateway after the other. */
async function sendDeadly({ servers, edges }: DyingFleet, forMs: number, everyMs: number): Promise<void> {
    const untilMs = performance.now() + forMs;
    const sent: Promise<unknown>[] = [];
    for (let i = 0; performance.now() < untilMs; i++) {
        const edge = edges[i % edges.length];
        assert.ok(edge);
        sent.push(servers.send(edge, deadlyPath));
        await sleep(everyMs);
    }
    await Promise.all(sent);
}

// Bounded by attempt alone, a request that crashes its server takes down as many servers as it has attempts.
test("a request that crashes the servers that run it is kept from them by every gateway", async t => {
    const fleet = await startDyingFleet(t, 3);
    await sendDeadly(fleet, 7_000, 200);
    assert.deepEqual(checkQueryOfDeath(fleet.servers.history, bounds), []);
    const [edge] = fleet.edges;
    assert.ok(edge);
    await eventually(async () => (await fleet.servers.send(edge, "/tables/x")).status === 200, "others are served");
});
