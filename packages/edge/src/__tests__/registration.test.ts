import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryStore } from "./support/memoryStore.js";
import { createConfiguration, eventually, startEdge, type TestEdge, waitUntilReady } from "./support/testEdge.js";

async function whenRegistered(edge: TestEdge): Promise<Readonly<Record<string, unknown>>> {
    const find = (): Readonly<Record<string, unknown>> | undefined =>
        edge.logs.find(line => line["message"] === "registered");
    await eventually(() => find() !== undefined, "the gateway is registered");
    return find() ?? {};
}

// Guards against the cost of a rolling restart, such as of 15 gateways: each new registration completes the watches of
// all other gateways, each of which makes another call. Keeping the same registration costs none.
test("a restarted gateway adopts the registration of its previous incarnation", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const first = await startEdge(t, store);
    await waitUntilReady(first);
    const before = await whenRegistered(first);
    await first.stop();
    const second = await startEdge(t, store, { peersPort: first.peersPort });
    const after = await whenRegistered(second);
    assert.equal(after["leaseId"], before["leaseId"]);
    assert.equal(after["adopted"], true);
});

// Guards against a registration that is kept after a restart with other settings, and sends peers to a port on which
// nothing listens.
test("a gateway whose port for peers changed with a restart registers again", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const first = await startEdge(t, store);
    await waitUntilReady(first);
    const before = await whenRegistered(first);
    await first.stop();
    const second = await startEdge(t, store);
    const after = await whenRegistered(second);
    assert.notEqual(after["leaseId"], before["leaseId"]);
});

test("a restarted gateway whose previous lease has ended registers again", async t => {
    const store = new MemoryStore();
    store.put("configuration", createConfiguration(1));
    const first = await startEdge(t, store);
    await waitUntilReady(first);
    const before = await whenRegistered(first);
    await first.stop();
    const second = await startEdge(t, store, { name: "edge-2" });
    await whenRegistered(second);
    (await store.revokeLease(String(before["leaseId"]))).unsafeCoerce();
    const third = await startEdge(t, store);
    const after = await whenRegistered(third);
    assert.notEqual(after["leaseId"], before["leaseId"]);
});
