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

// A change is called in force by the word of gateways that no longer count.
// Between admin's reads of the roster and of the head, the roster moves on and a change is written. Counted by the
// roster that was read before, the change would be in force without a word from the members that count since.
test("standing counts by a roster that was read after the change was written", async () => {
    const sim = await startFleet();
    const present = sim.roster() ?? assert.fail();
    const joined = present.members.map(member => ({ ...member, name: `${member.name}-new` }));
    sim.afterNextRead(storeKeys.roster, () => {
        const roster = { version: present.version + 1, members: joined, previous: present.members };
        sim.overwrite(storeKeys.roster, JSON.stringify(roster));
        const head = JSON.parse(sim.engine.get(storeKeys.head, sim.time.nowMs)?.value ?? "") as object;
        sim.overwrite(storeKeys.head, JSON.stringify({ ...head, revision: 2, changeId: "zone-out" }));
    });
    const before = await sim.until(sim.changeStatus(sim.startOperator("op1")));
    assert.equal(before?.changeId, "first", "nothing is said of a change that came after the roster was read");
    const after = await sim.until(sim.changeStatus(sim.startOperator("op2")));
    assert.equal(after?.changeId, "zone-out");
    const names = after.gateways.map(({ gateway }) => gateway.name);
    assert.ok(joined.every(({ name }) => names.includes(name)), names.join());
});

// Two of three hosts are lost at once and the host list still shows them: no majority of the old roster is left, and
// the operators' changes would wait for ever. An operator vouches for both; the word ends when one is started again.
test("an operator's word lets a lost majority go, and ends with the next start", async () => {
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

// An operator vouches for the wrong host. Counted as gone while it serves, it would send work to a zone that was taken
// out, after the change was called in force. First the gateway still renews its registration; then it is cut off from
// the store and its registration has lapsed, but it serves on by its peers and answers. Both times the word is refused.
test("an operator's word for a gateway that lives is refused", async () => {
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

// The operators' server can't reach a gateway that is registered, and loses the store as soon as it has written a word.
// Written first and looked at afterwards, the word would stay, and the gateway would be counted as gone as soon as it
// misses a renewal. So no word is written for a gateway that is seen to be registered.
test("no word is written for a registered gateway", async () => {
    const sim = await startFleet();
    const op = sim.startOperator("op1");
    sim.network.cut("op1", "gw2");
    sim.afterNextRead(`${storeKeys.forgottenPrefix}gw2`, () => sim.cutFromStore.add("op1"));
    const refused = (await sim.until(op.coordinator.forget("gw2"))).swap().toMaybe().extract();
    assert.deepEqual([refused?.kind, isForgotten(sim, "gw2")], ["badRequest", false]);
});

// An operator whose call went unanswered runs it again, perhaps after the gateway has left the roster: it must be told
// that it is done, not that the name is unknown. A name that was never there is a slip of the keyboard.
test("an operator's word may be given twice, but not for a name that nobody knows", async () => {
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

// A lost host comes back just as an operator vouches for it. Its gateway registers after the look that found it gone,
// having found no word to take back. The word must not stay: it would speak for the new process.
test("an operator's word that a registration overtakes is taken back", async () => {
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

/** A store on which an operator's word is written just after a gateway has looked for one. */
class OvertakenStore extends HttpKeyValueStore {
    #isOvertaken = false;

    override async compareAndSwap(req: CompareAndSwap): ReturnType<HttpKeyValueStore["compareAndSwap"]> {
        const outcome = await super.compareAndSwap(req);
        if (!this.#isOvertaken && req.key.startsWith(storeKeys.forgottenPrefix)) {
            this.#isOvertaken = true;
            await super.compareAndSwap({ key: req.key, expectedRevision: 0, value: "{}" });
        }
        return outcome;
    }
}

// The same with the word between the gateway's look and its registration, and the operator's second look before the
// registration too: neither sees the other. The gateway looks again once it is registered.
test("a registration that an operator's word overtakes takes it back", async t => {
    const platform = await PlatformServer.start();
    t.after(() => platform.stop());
    const connection = new PlatformClient({ addresses: [platform.url], client: "gw1" });
    t.after(() => connection.close());
    const store = new OvertakenStore(connection);
    const self = { name: "gw1", incarnation: "1", availabilityZone: "a", peerAddress: "127.0.0.1:1" };
    assert.ok((await register(store, self, 10_000)).isRight());
    const { entries } = (await store.list(storeKeys.fleetPrefix)).unsafeCoerce();
    assert.deepEqual(entries.map(({ key }) => key), [`${storeKeys.memberPrefix}gw1`]);
});
