import { storeKeys } from "@galenaglade/membership";
import { type CompareAndSwap, HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { PlatformServer } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { register } from "../fleetStore.js";
import { Simulation } from "./support/simulation.js";

const all = ["gw1", "gw2", "gw3"];

async function startFleet(): Promise<Simulation> {
    const sim = new Simulation(1);
    all.forEach(name => sim.startGateway(name));
    await sim.run(5_000);
    assert.ok((await sim.changeNow(sim.startOperator("op0"), "first")).inForce);
    return sim;
}

// Guards against a change that is declared in force by gateways that aren't members any more. Between two reads of the
// admin process, the roster changes and a configuration change is written. By the older roster, the change would be in
// force without a response from the current members.
test("a change isn't in force by a roster that was read before the change was written", async () => {
    const sim = await startFleet();
    const current = sim.roster() ?? assert.fail();
    const joined = current.members.map(member => ({ ...member, name: `${member.name}-new` }));
    sim.afterNextRead(storeKeys.roster, () => {
        const roster = { version: current.version + 1, members: joined, previous: current.members };
        sim.overwrite(storeKeys.roster, JSON.stringify(roster));
        const head = JSON.parse(sim.engine.get(storeKeys.head, sim.time.nowMs)?.value ?? "") as object;
        sim.overwrite(storeKeys.head, JSON.stringify({ ...head, revision: 2, changeId: "zone-out" }));
    });
    const before = await sim.until(sim.changeStatus(sim.startOperator("op1")));
    assert.equal(before?.changeId, "first", "a change that was written after the roster was read isn't reported");
    const after = await sim.until(sim.changeStatus(sim.startOperator("op2")));
    assert.equal(after?.changeId, "zone-out");
    const names = after.gateways.map(({ gateway }) => gateway.name);
    assert.ok(joined.every(({ name }) => names.includes(name)), names.join());
});

// Guards against changes that wait forever after two of three hosts are lost at once: no majority of the old roster is
// left, and the host list still has both. An operator confirms that they have ended; a restart deletes the record.
test("a lost majority that an operator forgets doesn't block changes, and counts again after a restart", async () => {
    const sim = await startFleet();
    sim.isHostListFrozen = true;
    ["gw2", "gw3"].forEach(name => sim.endGateway(name));
    const op = sim.startOperator("op1");
    assert.equal((await sim.changeNow(op, "waiting")).inForce, false);
    await Promise.all([sim.until(op.coordinator.forget("gw2")), sim.until(op.coordinator.forget("gw3"))]);
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), ["gw1"]);
    assert.equal((await sim.until(sim.changeStatus(op)))?.inForce, true);
    sim.startGateway("gw2");
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), ["gw1", "gw2"]);
    const forgotten = sim.engine.list(storeKeys.forgottenPrefix, sim.time.nowMs).map(({ key }) => key);
    assert.deepEqual(forgotten, [`${storeKeys.forgottenPrefix}gw3`]);
    sim.check();
});

function isForgotten(sim: Simulation, name: string): boolean {
    return sim.engine.get(`${storeKeys.forgottenPrefix}${name}`, sim.time.nowMs) !== undefined;
}

// Guards against an operator who forgets the wrong host. A live gateway that counts as ended would send work to a zone
// after its evacuation is in force. First the gateway still renews its registration. Then it is disconnected from the
// store and its registration has expired, but it serves through its peers and responds. Both calls are rejected.
test("a live gateway isn't forgotten, whether it is registered or only responds", async () => {
    const sim = await startFleet();
    const op = sim.startOperator("op1");
    const forget = async () => (await sim.until(op.coordinator.forget("gw2"))).swap().toMaybe().extract();
    assert.deepEqual([(await forget())?.kind, isForgotten(sim, "gw2")], ["badRequest", false]);
    sim.cutFromStore.add("gw2");
    await sim.run(15_000);
    assert.equal(sim.engine.get(`${storeKeys.memberPrefix}gw2`, sim.time.nowMs), undefined);
    assert.deepEqual([(await forget())?.kind, isForgotten(sim, "gw2")], ["badRequest", false]);
    sim.check();
});

// The admin process can't reach a registered gateway, and would lose the store right after writing the record. If the
// registration were checked only after the write, the record would stay, and the gateway would count as ended once it
// misses a renewal.
test("a registered gateway isn't recorded as forgotten, even briefly", async () => {
    const sim = await startFleet();
    const op = sim.startOperator("op1");
    sim.network.cut("op1", "gw2");
    sim.afterNextRead(`${storeKeys.forgottenPrefix}gw2`, () => sim.cutFromStore.add("op1"));
    const refused = (await sim.until(op.coordinator.forget("gw2"))).swap().toMaybe().extract();
    assert.deepEqual([refused?.kind, isForgotten(sim, "gw2")], ["badRequest", false]);
});

// An operator whose call got no response repeats it, possibly after the gateway has left the roster: the call must
// succeed rather than report an unknown name. A name that the fleet never had is a typing error.
test("a repeated forget call succeeds, and one for an unknown name fails", async () => {
    const sim = await startFleet();
    sim.isHostListFrozen = true;
    sim.endGateway("gw3");
    await sim.run(12_000);
    const op = sim.startOperator("op1");
    const forget = (name: string) => sim.until(op.coordinator.forget(name));
    assert.ok((await forget("gw3")).isRight());
    assert.ok((await forget("gw3")).isRight());
    await sim.run(20_000);
    assert.ok(sim.roster()?.members.every(({ name }) => name !== "gw3"));
    assert.ok((await forget("gw3")).isRight());
    const unknown = (await forget("gw33")).swap().toMaybe().extract();
    assert.deepEqual([unknown?.kind, isForgotten(sim, "gw33")], ["notFound", false]);
    sim.check();
});

// A lost host returns while an operator forgets it. Its gateway registers after the check that found it gone, when no
// record to delete existed yet. The record must not stay, since it would apply to the new process.
test("a forget record doesn't stay if the gateway registers between the check and the write", async () => {
    const sim = await startFleet();
    sim.isHostListFrozen = true;
    const identity = sim.roster()?.members.find(({ name }) => name === "gw3") ?? assert.fail();
    sim.endGateway("gw3");
    await sim.run(12_000);
    const key = `${storeKeys.memberPrefix}gw3`;
    sim.afterNextRead(key, () => sim.overwrite(key, JSON.stringify({ ...identity, incarnation: "new" })));
    const refused = (await sim.until(sim.startOperator("op1").coordinator.forget("gw3"))).swap().toMaybe().extract();
    assert.deepEqual([refused?.kind, isForgotten(sim, "gw3")], ["badRequest", false]);
});

/** A store in which an operator's record is written just after a gateway has checked for one. */
class RacingStore extends HttpKeyValueStore {
    #hasWrittenRecord = false;

    override async compareAndSwap(req: CompareAndSwap): ReturnType<HttpKeyValueStore["compareAndSwap"]> {
        const outcome = await super.compareAndSwap(req);
        if (!this.#hasWrittenRecord && req.key.startsWith(storeKeys.forgottenPrefix)) {
            this.#hasWrittenRecord = true;
            await super.compareAndSwap({ key: req.key, expectedRevision: 0, value: "{}" });
        }
        return outcome;
    }
}

// The same if the record is written between the gateway's check and its registration, and the admin process also makes
// its second check before the registration: neither sees the other. The gateway checks again once it is registered.
test("a forget record doesn't stay if it is written between the gateway's check and its registration", async t => {
    const platform = await PlatformServer.start();
    t.after(() => platform.stop());
    const connection = new PlatformClient({ addresses: [platform.url], client: "gw1" });
    t.after(() => connection.close());
    const store = new RacingStore(connection);
    const self = { name: "gw1", incarnation: "1", availabilityZone: "a", peerAddress: "127.0.0.1:1" };
    assert.ok((await register(store, self, 10_000)).isRight());
    const { entries } = (await store.list(storeKeys.fleetPrefix)).unsafeCoerce();
    assert.deepEqual(entries.map(({ key }) => key), [`${storeKeys.memberPrefix}gw1`]);
});
