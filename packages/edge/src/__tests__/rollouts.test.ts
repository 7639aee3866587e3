import { type RolloutOrder, type RolloutStatus } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { MemoryStore } from "./support/memoryStore.js";
import {
    call,
    createConfiguration,
    eventually,
    registerServer,
    renderSignedResponse,
    startBackend,
    startEdge,
    type TestBackend,
    type TestEdge,
    waitUntilReady,
} from "./support/testEdge.js";

const order: RolloutOrder = { service: "tables", version: "v2", allowedMs: 6_000 };

interface Fleet {
    readonly store: MemoryStore;
    readonly edges: readonly TestEdge[];
    readonly old: TestBackend;
    readonly fresh: readonly TestBackend[];
    readonly status: () => Promise<RolloutStatus | undefined>;
}

/** Starts two gateways, one server of the old version and two of the new one, and callers that send continuously. */
async function startFleet(t: TestContext, newVersionStatus: string): Promise<Fleet> {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const calling = new AbortController();
    // Hooks run in the order of their registration, so the callers stop before the gateways do.
    t.after(() => calling.abort());
    const old = await startBackend(t, "old");
    const fresh = await Promise.all(
        ["new-1", "new-2"].map(id =>
            startBackend(t, id, req => req.socket.write(renderSignedResponse(req, `from ${id}`, newVersionStatus)))
        ),
    );
    registerServer(store, old, { version: "v1", slots: 6 });
    const edges = [
        await startEdge(t, store, { name: "edge-1", exposureShare: 0.5, probesPerSecond: 2_000 }),
        await startEdge(t, store, { name: "edge-2", exposureShare: 0.5, probesPerSecond: 2_000 }),
    ];
    for (const edge of edges) {
        await waitUntilReady(edge);
        await eventually(() => edge.logs.some(line => line["message"] === "registered"), "the gateway registers");
    }
    for (const edge of edges) {
        void callOnAndOn(edge, calling.signal);
    }
    return {
        store,
        edges,
        old,
        fresh,
        status: async () => {
            const entry = (await store.get("statuses/tables")).orDefault(undefined);
            return entry === undefined ? undefined : JSON.parse(entry.value) as RolloutStatus;
        },
    };
}

async function callOnAndOn(edge: TestEdge, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        await Promise.allSettled([1, 2, 3].map(() => call(edge, "/tables/x")));
        await sleep(5);
    }
}

function orderRollout({ store, fresh }: Fleet): void {
    store.put("orders/tables", order);
    for (const backend of fresh) {
        registerServer(store, backend, { version: "v2" });
    }
}

test("a sound version is completed, and only its servers get requests then", async t => {
    const fleet = await startFleet(t, "200 OK");
    orderRollout(fleet);
    await eventually(async () => (await fleet.status())?.stage === "completed", "the rollout is completed");
    const before = fleet.old.servedRequests().length;
    await eventually(
        () => fleet.fresh.every(({ servedRequests }) => servedRequests().length > 100),
        "the new servers are used",
    );
    assert.equal(fleet.old.servedRequests().length, before);
    const stages = fleet.edges.flatMap(({ logs }) => logs.filter(line => line["message"] === "rolloutStage"));
    assert.deepEqual(stages.map(line => line["to"]), ["trial", "widened", "shifted", "completed"]);
});

// Guards against a failing version that isn't detected by the few requests it gets, or that gets more after a rollback.
test("a bad version is rolled back, and gets no more requests from gateways that run or start later", async t => {
    const fleet = await startFleet(t, "500 Internal Server Error");
    orderRollout(fleet);
    await eventually(async () => (await fleet.status())?.stage === "rolledBack", "the rollout is rolled back");
    for (const { logs } of fleet.edges) {
        await eventually(
            () => logs.some(line => line["change"] === "v2 rolledBack"),
            "the gateway learns of the rollback",
        );
    }
    const before = fleet.fresh.map(({ servedRequests }) => servedRequests().length);
    const late = await startEdge(t, fleet.store, { name: "edge-3", exposureShare: 0.5 });
    await waitUntilReady(late);
    for (let i = 0; i < 30; i++) {
        assert.equal((await call(late, "/tables/x")).body, "from old");
    }
    assert.deepEqual(fleet.fresh.map(({ servedRequests }) => servedRequests().length), before);
});

test("a malformed or oversized report is refused", async t => {
    const store = new MemoryStore();
    const edge = await startEdge(t, store);
    for (const body of ["", "{", JSON.stringify({ gateway: "a" })]) {
        const res = await request(`${edge.peersUrl}/rollout-evidence`, { method: "POST", body });
        await res.body.dump();
        assert.equal(res.statusCode, 400);
    }
    const large = await request(`${edge.peersUrl}/rollout-evidence`, { method: "POST", body: "x".repeat(100_000) })
        .then(async res => {
            await res.body.dump();
            return res.statusCode;
        }, () => "closed");
    assert.ok(large === 413 || large === "closed");
});
