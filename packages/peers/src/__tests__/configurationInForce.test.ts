import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation } from "./support/simulation.js";

const all = ["gw1", "gw2", "gw3", "gw4", "gw5"];

/** Starts a fleet of five gateways that serve under revision 1. */
async function startFleet(seed = 1): Promise<Simulation> {
    const sim = new Simulation(seed);
    for (const name of all) {
        sim.startGateway(name);
    }
    await sim.run(5_000);
    const acceptance = await sim.changeNow(sim.startOperator("op0"), "first");
    assert.ok(acceptance.inForce);
    await sim.run(3_000);
    return sim;
}

/** Disconnects two groups of processes in both directions. */
function split(sim: Simulation, side: readonly string[], others: readonly string[]): void {
    for (const a of side) {
        for (const b of others) {
            sim.network.cut(a, b);
            sim.network.cut(b, a);
        }
    }
}

/** Runs for a while. @returns names of the gateways that sent work in this time */
async function servingGateways(sim: Simulation, durationMs: number): Promise<readonly string[]> {
    const before = new Map([...sim.gateways.values()].map(({ name, sent }) => [name, sent]));
    await sim.run(durationMs);
    return [...sim.gateways.values()]
        .filter(({ name, sent }) => sent > (before.get(name) ?? 0))
        .map(({ name }) => name)
        .sort();
}

async function untilWritten(sim: Simulation, changeId: string): Promise<void> {
    for (let i = 0; i < 100 && sim.writeCount(changeId) === 0; i++) {
        await sim.run(1);
    }
}

function revisionOf(sim: Simulation, name: string): number | undefined {
    return sim.gateways.get(name)?.member.current()?.revision;
}

// Guards against work that is sent to a zone after its evacuation is in force. One gateway is disconnected from the
// store, its peers and the admin process, but not from its callers. It may accept work until its freshness expires, so
// the change must not be in force before that.
test("a gateway that only its callers can reach stops before the change is in force", async () => {
    const sim = await startFleet();
    split(sim, ["gw5"], [...all, "op1"]);
    sim.cutFromStore.add("gw5");
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.ok(acceptance.inForce);
    assert.equal(acceptance.gateways.find(({ gateway }) => gateway.name === "gw5")?.state, "lapsed");
    assert.deepEqual(await servingGateways(sim, 2_000), ["gw1", "gw2", "gw3", "gw4"]);
    sim.check();
    sim.heal();
    await sim.run(5_000);
    assert.equal(revisionOf(sim, "gw5"), 2);
    assert.deepEqual(await servingGateways(sim, 1_000), all);
    sim.check();
});

// Guards against changes that wait forever, and against healthy gateways that stop one by one in an outage. A gateway
// that is disconnected from the store only gets the change from the admin process and its peers and continues to serve.
test("a gateway without the store neither delays a change nor stops", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("gw5");
    await sim.run(15_000);
    const startedAtMs = sim.time.nowMs;
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.ok(acceptance.inForce);
    assert.ok(sim.time.nowMs - startedAtMs < 2_000, "no wait for the expiry of a gateway's freshness");
    assert.deepEqual(await servingGateways(sim, 10_000), all);
    sim.check();
});

// Guards against gateways that reject all callers in an outage that affects only some. The store is down for three of
// five gateways; they continue with the confirmations of their peers, and adopt changes.
test("with the store down for three of five gateways, all serve and changes are in force", async () => {
    const sim = await startFleet();
    ["gw1", "gw2", "gw3"].forEach(name => sim.cutFromStore.add(name));
    await sim.run(20_000);
    assert.deepEqual(await servingGateways(sim, 1_000), all);
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    assert.deepEqual(all.map(name => revisionOf(sim, name)), [2, 2, 2, 2, 2]);
    assert.deepEqual(await servingGateways(sim, 20_000), all);
    sim.check();
});

// The store is down for all gateways for a minute, and one of them is also disconnected from the rest. A majority in
// contact continues to serve; the isolated gateway may have missed a change and must reject work.
test("with the store down for all, a majority in contact serves and an isolated gateway doesn't", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("*");
    split(sim, ["gw5"], all);
    await sim.run(60_000);
    assert.deepEqual(await servingGateways(sim, 10_000), ["gw1", "gw2", "gw3", "gw4"]);
    sim.check();
});

// Guards against a repeated call that applies the change twice, or fails with a conflict with itself. The
// compare-and-swap took effect, its response was lost, and another operator's change came before the second attempt.
test("a change whose response was lost isn't applied twice, even after a later change", async () => {
    const sim = await startFleet();
    const op1 = sim.startOperator("op1");
    const read = (await sim.until(op1.coordinator.read())).toMaybe().extract() ?? assert.fail();
    const req = { changeId: "zone-out", expectedRevision: 1, configuration: read.configuration };
    sim.storeFaults.losesNextHeadResponse = true;
    const first = op1.coordinator.apply(req, 1_000);
    await untilWritten(sim, "zone-out");
    sim.cutFromStore.add("op1");
    assert.equal((await sim.until(first)).swap().toMaybe().extract()?.kind, "storeOutcomeUnknown");
    sim.cutFromStore.delete("op1");
    assert.ok((await sim.changeNow(sim.startOperator("op2"), "later")).inForce);
    const again = await sim.until(op1.coordinator.apply(req, 5_000));
    const acceptance = again.toMaybe().extract() ?? assert.fail("the second attempt failed");
    assert.deepEqual([acceptance.revision, acceptance.inForce], [2, true]);
    assert.equal(sim.writeCount("zone-out"), 1);
    sim.check();
});

// Guards against a change that is silently lost when two operators make a change at the same time. Both read revision
// 1; the store accepts one change, and the other operator gets a conflict with the current revision.
test("of two concurrent changes, one is in force and the other fails with a conflict", async () => {
    const sim = await startFleet();
    const results = ["op1", "op2"].map(name => sim.change(sim.startOperator(name), `by-${name}`));
    const ends = (await sim.until(Promise.all(results))).map(result =>
        result.caseOf<string>({ Left: failure => failure.kind, Right: ({ inForce }) => `in force ${inForce}` })
    );
    assert.deepEqual([...ends].sort(), ["in force true", "revisionConflict"]);
    sim.check();
});

// Guards against a change that stays incomplete when the operator's call is interrupted. The admin process ends after
// it has written the change, before it offers it to any gateway; then another admin process is asked for the status.
test("a change whose admin process ended is put in force by the next one", async () => {
    const sim = await startFleet();
    sim.storeFaults.silentWatches = true;
    const op1 = sim.startOperator("op1");
    void sim.change(op1, "zone-out");
    await untilWritten(sim, "zone-out");
    op1.process.end();
    const standing = await sim.until(sim.changeStatus(sim.startOperator("op2")));
    assert.deepEqual([standing?.changeId, standing?.inForce], ["zone-out", true]);
    sim.check();
});

// Guards against a restarted gateway that accepts work under a configuration that was replaced before its start. gw1,
// gw2 and gw3 hold the change; gw4 and gw5 are disconnected and reject work. Then the store goes down for all, and gw3
// restarts and reaches only gw4 and gw5. These three are a majority, and none of them knows of the change.
test("a restarted gateway without its former state doesn't count for a majority", async () => {
    const sim = await startFleet();
    split(sim, ["gw4", "gw5"], ["gw1", "gw2", "gw3", "op1"]);
    ["gw4", "gw5"].forEach(name => sim.cutFromStore.add(name));
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    sim.cutFromStore.add("*");
    sim.network.heal();
    split(sim, ["gw1", "gw2"], ["gw3", "gw4", "gw5"]);
    sim.startGateway("gw3");
    assert.deepEqual(await servingGateways(sim, 3_000), ["gw1", "gw2"], "by the last confirmation of the store");
    await sim.run(5_000);
    assert.deepEqual(await servingGateways(sim, 20_000), [], "no gateway reaches a majority that has kept its state");
    sim.check();
    sim.network.heal();
    await sim.run(5_000);
    assert.deepEqual(all.map(name => revisionOf(sim, name)), [2, 2, 2, 2, 2]);
    assert.deepEqual(await servingGateways(sim, 1_000), all);
    sim.check();
});

// Guards against replaced or restarted hosts that can't serve until the end of a long outage of the store. One gateway
// restarts and one is new; both get the configuration and roster from a majority.
test("gateways that start in an outage of the store get the configuration from their peers and serve", async () => {
    const sim = await startFleet();
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    sim.cutFromStore.add("*");
    await sim.run(20_000);
    sim.startGateway("gw2");
    sim.startGateway("gw6");
    await sim.run(6_000);
    assert.deepEqual([revisionOf(sim, "gw2"), revisionOf(sim, "gw6")], [2, 2]);
    assert.deepEqual(await servingGateways(sim, 10_000), [...all, "gw6"]);
    sim.check();
});

// Guards against a change that is in force while one gateway still serves under the older configuration. gw6 isn't in
// the roster and can't reach the store, so it is unknown to the admin process; it serves because gw1 to gw5 respond to
// its heartbeats. They report it to the admin process, which then includes it.
test("a change isn't in force before a gateway outside the roster that serves through its peers holds it", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("gw6");
    sim.startGateway("gw6");
    await sim.run(6_000);
    assert.deepEqual(await servingGateways(sim, 1_000), [...all, "gw6"]);
    split(sim, ["gw6"], ["op1"]);
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    await sim.run(3_000);
    sim.check();
    assert.equal(revisionOf(sim, "gw6"), 2);
});

// Guards against a majority that keeps sending work to an evacuated zone. gw1 to gw3 are disconnected from the store
// and the other gateways; as a majority, they continue to serve. Their leases expire, new gateways register, and a
// roster of the new ones alone could accept a change that the three never receive. While majorities of the old and the
// new members are needed, the change waits; once the three have ended, it is in force.
test("a majority that serves without the store isn't replaced in the roster", async () => {
    const sim = await startFleet();
    const cutOff = ["gw1", "gw2", "gw3"];
    const others = ["gw4", "gw5", "gw6", "gw7", "gw8", "gw9", "op1"];
    split(sim, cutOff, others);
    cutOff.forEach(name => sim.cutFromStore.add(name));
    ["gw6", "gw7", "gw8", "gw9"].forEach(name => sim.startGateway(name));
    await sim.run(40_000);
    assert.equal(sim.roster()?.previous?.length, 5, "the roster change waits for a majority of the old members");
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.equal(acceptance.inForce, false);
    const serving = await servingGateways(sim, 1_000);
    assert.deepEqual(cutOff.filter(name => serving.includes(name)), cutOff);
    sim.check();
    cutOff.forEach(name => sim.endGateway(name));
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), others.slice(0, -1));
    assert.equal(sim.roster()?.previous, undefined);
    assert.equal((await sim.until(sim.changeStatus(sim.startOperator("op2"))))?.inForce, true);
    assert.deepEqual(await servingGateways(sim, 1_000), others.slice(0, -1));
    sim.check();
});

// Guards against a paused process that resumes with pending work under a configuration that has been replaced. The
// pause exceeds the freshness and the lease; after it, deferred turns run before any response arrives.
test("a gateway that resumes after a pause rejects work", async () => {
    const sim = await startFleet();
    sim.gateways.get("gw5")?.process.pause();
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    await sim.run(12_000);
    sim.gateways.get("gw5")?.process.resume();
    sim.check();
    await sim.run(5_000);
    assert.equal(revisionOf(sim, "gw5"), 2);
    assert.deepEqual(await servingGateways(sim, 1_000), all);
    sim.check();
});

// The same with responses to calls from before the pause, which are pending when the gateway resumes. They are from
// before the change. If their age counted from when they are read, the gateway, which is now disconnected from all
// other processes, would accept work for another freshness period.
for (const seed of [1, 2, 3, 4, 5]) {
    test(`responses from before a pause don't extend the freshness after it (seed ${seed})`, async () => {
        const sim = await startFleet(seed);
        sim.storeDelayMs = 700;
        sim.network.maxDelayMs = 450;
        await sim.run(5_000 + sim.random.nextInt(1_000));
        sim.gateways.get("gw5")?.process.pause();
        await sim.run(1_500);
        sim.heal({ paused: true });
        split(sim, ["gw5"], [...all, "op1"]);
        sim.cutFromStore.add("gw5");
        assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
        await sim.run(1_000);
        sim.gateways.get("gw5")?.process.resume();
        await sim.run(10_000);
        sim.check();
    });
}

// Guards against a gateway that accepts work beyond its freshness. It is disconnected from its peers and reads the head
// from a slow store just before the change is written. The admin process waits for the freshness of a read from before
// the change, not for the time until the response arrives.
for (const seed of [1, 2, 3, 4, 5]) {
    test(`a slow response of the store doesn't extend the freshness (seed ${seed})`, async () => {
        const sim = await startFleet(seed);
        sim.storeFaults.silentWatches = true;
        sim.startGateway("gw5");
        await sim.run(5_000);
        split(sim, ["gw5"], [...all, "op1"]);
        sim.maxStoreDelayMsByProcess.set("gw5", 1_500);
        await sim.run(5_000 + sim.random.nextInt(2_000));
        const acceptance = sim.changeNow(sim.startOperator("op1"), "zone-out");
        await untilWritten(sim, "zone-out");
        sim.cutFromStore.add("gw5");
        assert.ok((await acceptance).inForce);
        await sim.run(10_000);
        sim.check();
    });
}

// Guards against a gateway that regularly reads the store but sends work under a configuration that was replaced long
// ago. Its reads are served by a lagging replica, the watch gets no response, and peers and admin can't reach it.
test("stale reads of the store confirm nothing", async () => {
    const sim = await startFleet();
    sim.storeFaults.silentWatches = true;
    sim.startGateway("gw5");
    await sim.run(5_000);
    sim.storeFaults.staleEngine = sim.engine.snapshot();
    split(sim, ["gw5"], [...all, "op1"]);
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    await sim.run(10_000);
    sim.check();
    assert.equal(revisionOf(sim, "gw5"), 2, "it reads the current head");
    assert.equal(acceptance.inForce, false, "the admin process can't list the current registrations");
});
