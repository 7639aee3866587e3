import assert from "node:assert/strict";
import { test } from "node:test";
import { Simulation } from "./support/simulation.js";

const all = ["gw1", "gw2", "gw3", "gw4", "gw5"];

/** A fleet of five that serves under revision 1. */
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

/** Cuts the network between two groups, both ways. */
function split(sim: Simulation, side: readonly string[], others: readonly string[]): void {
    for (const a of side) {
        for (const b of others) {
            sim.network.cut(a, b);
            sim.network.cut(b, a);
        }
    }
}

/** Runs for a while and says who sent work meanwhile. */
async function whoServes(sim: Simulation, durationMs: number): Promise<readonly string[]> {
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

// The operator takes an availability zone out and is told that it is out; callers of one gateway still get answers
// from it. That gateway is cut off from the store, its peers and admin, but not from its callers. It may go on for the
// time that it has, so the change is called in force only after that, and by then it refuses.
test("a gateway that is cut off, but not from its callers, stops before the change is in force", async () => {
    const sim = await startFleet();
    split(sim, ["gw5"], [...all, "op1"]);
    sim.cutFromStore.add("gw5");
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.ok(acceptance.inForce);
    assert.equal(acceptance.gateways.find(({ gateway }) => gateway.name === "gw5")?.state, "lapsed");
    assert.deepEqual(await whoServes(sim, 2_000), ["gw1", "gw2", "gw3", "gw4"]);
    sim.check();
    sim.heal();
    await sim.run(5_000);
    assert.equal(revisionOf(sim, "gw5"), 2);
    assert.deepEqual(await whoServes(sim, 1_000), all);
    sim.check();
});

// The operator waits for ever, or the gateways go down one by one in an outage, although nothing is wrong with them.
// A gateway that lost only the store hears of the change from admin and its peers and serves on.
test("a gateway that is cut off from the store alone gets the change at once and serves on", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("gw5");
    await sim.run(15_000);
    const startedAtMs = sim.time.nowMs;
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.ok(acceptance.inForce);
    assert.ok(sim.time.nowMs - startedAtMs < 2_000, "no wait for anybody's time to run out");
    assert.deepEqual(await whoServes(sim, 10_000), all);
    sim.check();
});

// Half of the hosts would refuse every caller in an outage that the other half doesn't see.
// The store is down for three of five gateways; they go on through what their peers know, and take changes.
test("with the store down for half of the gateways, all serve and changes come into force", async () => {
    const sim = await startFleet();
    ["gw1", "gw2", "gw3"].forEach(name => sim.cutFromStore.add(name));
    await sim.run(20_000);
    assert.deepEqual(await whoServes(sim, 1_000), all);
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    assert.deepEqual(all.map(name => revisionOf(sim, name)), [2, 2, 2, 2, 2]);
    assert.deepEqual(await whoServes(sim, 20_000), all);
    sim.check();
});

// The store is down for everybody for a minute, and one gateway is cut off from the rest as well.
// A majority that talks serves on; the one alone can't know of what the others know and refuses.
test("with the store down for all, a majority in contact serves on and a gateway alone refuses", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("*");
    split(sim, ["gw5"], all);
    await sim.run(60_000);
    assert.deepEqual(await whoServes(sim, 10_000), ["gw1", "gw2", "gw3", "gw4"]);
    sim.check();
});

// The operator's call fails, is sent again, and makes the change twice or is told of a conflict with itself.
// The compare-and-swap took effect, its answer was lost, and another operator's change came before the second try.
test("a change whose answer was lost is recognised, also after a later change", async () => {
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
    const acceptance = again.toMaybe().extract() ?? assert.fail("the second try failed");
    assert.deepEqual([acceptance.revision, acceptance.inForce], [2, true]);
    assert.equal(sim.writeCount("zone-out"), 1);
    sim.check();
});

// Two operators change the same thing at once, and one of the changes is gone without a word.
// Both read revision 1; the store takes one, and the other's operator is told the present revision.
test("of two operators at once one wins and the other is told of the conflict", async () => {
    const sim = await startFleet();
    const results = ["op1", "op2"].map(name => sim.change(sim.startOperator(name), `by-${name}`));
    const ends = (await sim.until(Promise.all(results))).map(result =>
        result.caseOf<string>({ Left: failure => failure.kind, Right: ({ inForce }) => `in force ${inForce}` })
    );
    assert.deepEqual([...ends].sort(), ["in force true", "revisionConflict"]);
    sim.check();
});

// The operator's call breaks off, and nobody knows whether the zone is out.
// Admin wrote the change and ended before it offered it to anybody; another admin process is asked how far it has come.
test("a change whose admin process ended is brought into force by the next", async () => {
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

// A host that was started anew takes up work under a configuration that was replaced before it started.
// The change is held by gw1, gw2 and gw3; gw4 and gw5 were cut off and refuse. Then the store goes down for all, gw3
// is started anew and reaches only gw4 and gw5. The three are a majority, and none of them knows of the change.
test("a gateway that forgot what it held doesn't make up a majority", async () => {
    const sim = await startFleet();
    split(sim, ["gw4", "gw5"], ["gw1", "gw2", "gw3", "op1"]);
    ["gw4", "gw5"].forEach(name => sim.cutFromStore.add(name));
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    sim.cutFromStore.add("*");
    sim.network.heal();
    split(sim, ["gw1", "gw2"], ["gw3", "gw4", "gw5"]);
    sim.startGateway("gw3");
    assert.deepEqual(await whoServes(sim, 3_000), ["gw1", "gw2"], "on what the store said last");
    await sim.run(5_000);
    assert.deepEqual(await whoServes(sim, 20_000), [], "nobody reaches a majority that remembers");
    sim.check();
    sim.network.heal();
    await sim.run(5_000);
    assert.deepEqual(all.map(name => revisionOf(sim, name)), [2, 2, 2, 2, 2]);
    assert.deepEqual(await whoServes(sim, 1_000), all);
    sim.check();
});

// In a long outage of the store every host that is replaced or started anew would be lost to callers until its end.
// One gateway is started anew and one is quite new; both take the configuration and roster from a majority.
test("gateways that start in an outage of the store take the configuration from their peers and serve", async () => {
    const sim = await startFleet();
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    sim.cutFromStore.add("*");
    await sim.run(20_000);
    sim.startGateway("gw2");
    sim.startGateway("gw6");
    await sim.run(6_000);
    assert.deepEqual([revisionOf(sim, "gw2"), revisionOf(sim, "gw6")], [2, 2]);
    assert.deepEqual(await whoServes(sim, 10_000), [...all, "gw6"]);
    sim.check();
});

// A change is called in force while callers of one gateway still get answers under the older configuration.
// gw6 is in no roster and can't reach the store, so nobody who accepts a change knows of it; it serves because gw1 to
// gw5 answer it. They name it to admin, which asks it too.
test("a gateway outside the roster that serves by its peers' word is asked before a change is in force", async () => {
    const sim = await startFleet();
    sim.cutFromStore.add("gw6");
    sim.startGateway("gw6");
    await sim.run(6_000);
    assert.deepEqual(await whoServes(sim, 1_000), [...all, "gw6"]);
    split(sim, ["gw6"], ["op1"]);
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    await sim.run(3_000);
    sim.check();
    assert.equal(revisionOf(sim, "gw6"), 2);
});

// An operator takes a zone out and is told so, and callers of three gateways get answers from it for minutes.
// gw1 to gw3 are cut off from the store and the rest; being a majority, they serve on. Their leases lapse, new gateways
// register, and a roster of the new ones alone could accept a change that the three never hear of. While old and new
// are counted together, the change waits; when the three are really gone, it comes into force.
test("a majority that serves without the store isn't replaced behind its back", async () => {
    const sim = await startFleet();
    const cutOff = ["gw1", "gw2", "gw3"];
    const others = ["gw4", "gw5", "gw6", "gw7", "gw8", "gw9", "op1"];
    split(sim, cutOff, others);
    cutOff.forEach(name => sim.cutFromStore.add(name));
    ["gw6", "gw7", "gw8", "gw9"].forEach(name => sim.startGateway(name));
    await sim.run(40_000);
    assert.equal(sim.roster()?.previous?.length, 5, "the change of the roster waits for a majority of the old");
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    assert.equal(acceptance.inForce, false);
    const serving = await whoServes(sim, 1_000);
    assert.deepEqual(cutOff.filter(name => serving.includes(name)), cutOff);
    sim.check();
    cutOff.forEach(name => sim.endGateway(name));
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), others.slice(0, -1));
    assert.equal(sim.roster()?.previous, undefined);
    assert.equal((await sim.until(sim.changeStatus(sim.startOperator("op2"))))?.inForce, true);
    assert.deepEqual(await whoServes(sim, 1_000), others.slice(0, -1));
    sim.check();
});

// A process that stood still goes on with work that it held, under a configuration that was replaced meanwhile.
// The gateway is stopped past its freshness and its lease; on going on, its held turns run before any answer comes in.
test("a paused gateway refuses when it goes on", async () => {
    const sim = await startFleet();
    sim.gateways.get("gw5")?.process.pause();
    assert.ok((await sim.changeNow(sim.startOperator("op1"), "zone-out")).inForce);
    await sim.run(12_000);
    sim.gateways.get("gw5")?.process.resume();
    sim.check();
    await sim.run(5_000);
    assert.equal(revisionOf(sim, "gw5"), 2);
    assert.deepEqual(await whoServes(sim, 1_000), all);
    sim.check();
});

// As above, but answers that were asked for before the pause lie waiting when the gateway goes on.
// They are from before the change. Counted from when they are read, they would let the gateway go on for another while,
// cut off as it now is from everybody who knows better.
for (const seed of [1, 2, 3, 4, 5]) {
    test(`answers from before a pause don't count after it (seed ${seed})`, async () => {
        const sim = await startFleet(seed);
        sim.storeDelayMs = 700;
        sim.network.maximumDelayMs = 450;
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

// A gateway that is cut off from its peers reads the store, which is slow, and goes on past the time it has.
// The head is read just before the change is written, and the answer is on its way for long. Whoever accepts the change
// waits for as long as a read from before it may count, and not for as long as its answer may take.
for (const seed of [1, 2, 3, 4, 5]) {
    test(`a slow answer of the store counts from before it was asked (seed ${seed})`, async () => {
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

// A gateway that reads the store all the time sends work under a configuration that was replaced long ago.
// Reads come from a part of the store that has fallen behind, the watch is silent, and peers and admin can't reach it.
test("reads from the store's past confirm nothing", async () => {
    const sim = await startFleet();
    sim.storeFaults.silentWatches = true;
    sim.startGateway("gw5");
    await sim.run(5_000);
    sim.storeFaults.staleEngine = sim.engine.snapshot();
    split(sim, ["gw5"], [...all, "op1"]);
    const acceptance = await sim.changeNow(sim.startOperator("op1"), "zone-out");
    await sim.run(10_000);
    sim.check();
    assert.equal(revisionOf(sim, "gw5"), 2, "what it reads is the present");
    assert.equal(acceptance.inForce, false, "admin can't list the registrations as they are and says so");
});
