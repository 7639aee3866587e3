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

// Fifteen hosts are restarted in turn. Each new registration wakes the watches of all others, and each of them pays for
// a call; the same registration kept costs nobody anything.
test("a restarted gateway goes on with the registration of its life before", async t => {
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

// Kept over a restart with other settings, the registration would send the others to a port where nobody answers.
test("a gateway that is asked for changes at another port than in its life before registers anew", async t => {
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

test("a gateway whose old lease has ended registers anew", async t => {
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
