import { storeKeys } from "@galenaglade/membership";
import assert from "node:assert/strict";
import { test } from "node:test";
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
    const before = await sim.until(sim.standing(sim.startOperator("op1")));
    assert.equal(before?.changeId, "first", "nothing is said of a change that came after the roster was read");
    const after = await sim.until(sim.standing(sim.startOperator("op2")));
    assert.equal(after?.changeId, "zone-out");
    const names = after.gateways.map(({ gateway }) => gateway.name);
    assert.ok(joined.every(({ name }) => names.includes(name)), names.join());
});

// Two of three hosts are lost at once and the host list still shows them: no majority of the old roster is left, and
// the operators' changes would wait for ever. An operator vouches for both; the word ends when one is started again.
test("an operator's word lets a lost majority go, and ends with the next start", async () => {
    const sim = await startFleet();
    sim.hostListStands = true;
    ["gw2", "gw3"].forEach(name => sim.endGateway(name));
    const op = sim.startOperator("op1");
    assert.equal((await sim.changeNow(op, "waiting")).inForce, false);
    await Promise.all([sim.until(op.coordinator.forget("gw2")), sim.until(op.coordinator.forget("gw3"))]);
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), ["gw1"]);
    assert.equal((await sim.until(sim.standing(op)))?.inForce, true);
    sim.startGateway("gw2");
    await sim.run(20_000);
    assert.deepEqual(sim.roster()?.members.map(({ name }) => name), ["gw1", "gw2"]);
    const forgotten = sim.engine.list(storeKeys.forgottenPrefix, sim.time.nowMs).map(({ key }) => key);
    assert.deepEqual(forgotten, [`${storeKeys.forgottenPrefix}gw3`]);
    sim.check();
});
