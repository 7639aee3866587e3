import { checkAtMostOnce, checkQueryOfDeath, checkDidRunAccuracy } from "@galenaglade/history";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { crashPath, crashReturnPath, CrashingServers } from "./support/crashingServers.js";
import { StoreLink } from "./support/storeLink.js";
import { MemoryStore } from "./support/memoryStore.js";
import { createConfiguration, eventually, startEdge, type TestEdge, waitUntilReady } from "./support/testEdge.js";

const bounds = { crashes: 3, settleMs: 3_000, retries: 3 };
const servers = 6;

interface CrashingFleet {
    readonly store: MemoryStore;
    readonly servers: CrashingServers;
    readonly edges: readonly TestEdge[];
    readonly links: readonly StoreLink[];
}

/** Starts gateways that share one store, in front of servers that crash on one path. */
async function startCrashingFleet(
    t: TestContext,
    gateways: number,
    settings: { readonly firstTrialSeconds?: number; } = {},
): Promise<CrashingFleet> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const crashingServers = new CrashingServers(t, store);
    for (let i = 0; i < servers; i++) {
        await crashingServers.start();
    }
    const edges: TestEdge[] = [];
    const links: StoreLink[] = [];
    for (let i = 0; i < gateways; i++) {
        const link = new StoreLink(store);
        links.push(link);
        edges.push(await startEdge(t, link, { ...settings, name: `edge-${i}` }));
    }
    await Promise.all(edges.map(waitUntilReady));
    await eventually(
        () => edges.every(({ logs }) => logs.filter(line => line["subject"] === "gateway").length >= gateways),
        "the gateways know each other",
    );
    return { store, servers: crashingServers, edges, links };
}

/** Sends the request that crashes servers to one gateway after the other. */
async function sendCrashing({ servers, edges }: CrashingFleet, forMs: number, everyMs: number): Promise<void> {
    const untilMs = performance.now() + forMs;
    const sent: Promise<unknown>[] = [];
    for (let i = 0; performance.now() < untilMs; i++) {
        const edge = edges[i % edges.length];
        assert.ok(edge);
        sent.push(servers.send(edge, crashPath));
        await sleep(everyMs);
    }
    await Promise.all(sent);
}

// With a bound on attempts alone, a request that crashes its server takes down as many servers as it has attempts.
test("a request that crashes servers is quarantined by every gateway before it takes down more of them", async t => {
    const fleet = await startCrashingFleet(t, 3);
    await sendCrashing(fleet, 7_000, 200);
    assert.deepEqual(checkQueryOfDeath(fleet.servers.history, bounds), []);
    const [edge] = fleet.edges;
    assert.ok(edge);
    await eventually(
        async () => (await fleet.servers.send(edge, "/tables/x")).status === 200,
        "other requests are served",
    );
});

async function whenQuarantined(fleet: CrashingFleet, edges: readonly TestEdge[] = fleet.edges): Promise<void> {
    await sendCrashing(fleet, 1_000, 150);
    await eventually(
        () => edges.every(({ logs }) => logs.some(line => line["state"] === "quarantined")),
        "all gateways quarantine the request",
    );
}

function at<T>(things: readonly T[], index: number): T {
    const thing = things[index];
    assert.ok(thing !== undefined);
    return thing;
}

// With the response of an overload the caller would retry at once, and on-call would look for an overloaded service.
test("a quarantined request is rejected at once with its own error, and the log names its crashes", async t => {
    const fleet = await startCrashingFleet(t, 2);
    await whenQuarantined(fleet);
    const crashesBefore = fleet.servers.crashCount;
    const edge = at(fleet.edges, 1);
    const got = await fleet.servers.send(edge, crashPath);
    assert.equal(got.status, 503);
    assert.ok(Number(got.headers["retry-after"]) > 60);
    assert.equal(fleet.servers.crashCount, crashesBefore);
    const failed = edge.logs.findLast(line => line["message"] === "requestFailed");
    const stateChange = edge.logs.findLast(line => line["message"] === "contentJudged");
    assert.equal(failed?.["kind"], "queryOfDeath");
    assert.equal(failed["contentId"], stateChange?.["contentId"]);
    assert.equal((await fleet.servers.send(edge, "/tables/other")).status, 200);
});

// A gateway that lost the quarantine in a restart would let the request take down servers again.
test("a gateway that has just started rejects requests that are already quarantined", async t => {
    const fleet = await startCrashingFleet(t, 2);
    await whenQuarantined(fleet);
    const crashesBefore = fleet.servers.crashCount;
    await at(fleet.edges, 0).stop();
    const restarted = await startEdge(t, new StoreLink(fleet.store), { name: "edge-0" });
    const added = await startEdge(t, new StoreLink(fleet.store), { name: "edge-new" });
    for (const edge of [restarted, added]) {
        await waitUntilReady(edge);
        assert.equal((await fleet.servers.send(edge, crashPath)).status, 503);
    }
    assert.equal(fleet.servers.crashCount, crashesBefore);
});

test("a gateway that was cut off from the store learns of a quarantine soon after it reconnects", async t => {
    const fleet = await startCrashingFleet(t, 3);
    const [cutOff, ...others] = fleet.edges;
    assert.ok(cutOff);
    at(fleet.links, 0).isCut = true;
    await whenQuarantined({ ...fleet, edges: others }, others);
    at(fleet.links, 0).isCut = false;
    const backAtMs = performance.now();
    await eventually(
        () => cutOff.logs.some(line => line["state"] === "quarantined"),
        "the gateway quarantines the request",
    );
    assert.ok(performance.now() - backAtMs <= bounds.settleMs);
    const crashesBefore = fleet.servers.crashCount;
    assert.equal((await fleet.servers.send(cutOff, crashPath)).status, 503);
    assert.equal(fleet.servers.crashCount, crashesBefore);
});

// Without the store a gateway gets no reports of others. Its own crashes must suffice, and be published afterwards.
test("a gateway quarantines by its own crashes while the store is down, and reports them afterwards", async t => {
    const fleet = await startCrashingFleet(t, 2);
    fleet.store.isDown = true;
    const [first, second] = fleet.edges;
    assert.ok(first && second);
    for (let i = 0; i < 4; i++) {
        await fleet.servers.send(first, crashPath);
        await sleep(200);
    }
    assert.equal((await fleet.servers.send(first, crashPath)).status, 503);
    fleet.store.isDown = false;
    await eventually(
        () => second.logs.some(line => line["state"] === "quarantined"),
        "the other gateway quarantines the request",
    );
});

test("a non-idempotent request that crashes servers is quarantined as well, and runs once at most", async t => {
    const fleet = await startCrashingFleet(t, 2);
    for (let i = 0; i < 5; i++) {
        await fleet.servers.send(at(fleet.edges, i % 2), crashReturnPath, "filed");
        await sleep(300);
    }
    await eventually(
        () => fleet.edges.every(({ logs }) => logs.some(line => line["state"] === "quarantined")),
        "all gateways quarantine the request",
    );
    const crashesBefore = fleet.servers.crashCount;
    const refused = await fleet.servers.send(at(fleet.edges, 0), crashReturnPath, "filed");
    assert.equal(refused.status, 503);
    assert.equal(fleet.servers.crashCount, crashesBefore);
    assert.equal((await fleet.servers.send(at(fleet.edges, 0), "/returns/x", "filed")).status, 200);
    assert.deepEqual(checkAtMostOnce(fleet.servers.history), []);
    assert.deepEqual(checkDidRunAccuracy(fleet.servers.history), []);
});

// A popular read that was running on servers which crashed for another reason must not stay quarantined.
test("a quarantined request is tried once soon, and is served again if it crashes no server any more", async t => {
    const fleet = await startCrashingFleet(t, 2, { firstTrialSeconds: 1 });
    await whenQuarantined(fleet);
    fleet.servers.crashesEnabled = false;
    await eventually(
        async () =>
            (await Promise.all(fleet.edges.map(edge => fleet.servers.send(edge, crashPath)))).every(got =>
                got.status === 200
            ),
        "both gateways serve the request",
    );
});
