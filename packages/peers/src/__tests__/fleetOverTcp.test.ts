import { resolveConfiguration } from "@galenaglade/configuration";
import { HttpKeyValueStore, PlatformClient } from "@galenaglade/platform";
import { PlatformServer } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { createChangeCoordinator, createFleetMembership, type FleetMembership } from "../index.js";

const fleetKey = "secret";
const stops: (() => Promise<unknown>)[] = [];
let platform: PlatformServer;

before(async () => {
    platform = await PlatformServer.start();
    stops.unshift(() => platform.stop());
});

after(async () => {
    for (const stop of stops) {
        await stop();
    }
});

function connectStore(client: string): HttpKeyValueStore {
    const connection = new PlatformClient({ addresses: [platform.url], client });
    stops.unshift(() => connection.close());
    return new HttpKeyValueStore(connection);
}

async function startMember(name: string): Promise<FleetMembership> {
    const member = createFleetMembership({
        store: connectStore(name),
        name,
        availabilityZone: "a",
        listen: { host: "127.0.0.1", port: 0 },
        seeds: [],
        fleetKey,
    });
    stops.unshift(() => member.stop());
    assert.ok((await member.start()).isRight());
    return member;
}

/** Waits for a condition, limited by the timeout of the test runner only. */
async function until(holds: () => boolean): Promise<void> {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

function createConfiguration(state: "in" | "out") {
    return resolveConfiguration({ availabilityZones: [{ name: "a", state }], services: [] }).toMaybe().extract()
        ?? assert.fail();
}

// End to end with sockets and timers: two gateways register, adopt a change, forward signals, and continue through
// contact with each other when the store is down. A change while the store is down is rejected without effect.
test("two gateways over TCP adopt changes, forward signals, and serve without the store", async () => {
    const members = [await startMember("gw1"), await startMember("gw2")];
    const coordinator = createChangeCoordinator({ store: connectStore("admin"), fleetKey });
    const [gw1, gw2] = members;
    await until(() => members.every(member => member.status()?.member === true));
    assert.ok(members.every(member => !member.mayTakeNewWork()), "nothing is configured yet");
    const first = { changeId: "first", expectedRevision: 0, configuration: createConfiguration("in") };
    const applied = (await coordinator.apply(first, 60_000)).toMaybe().extract();
    assert.deepEqual([applied?.revision, applied?.inForce], [1, true]);
    assert.ok(members.every(member => member.current()?.revision === 1));
    await until(() => members.every(member => member.mayTakeNewWork()));

    const receivedSignals: string[] = [];
    gw2?.onSignals((signals, from) => receivedSignals.push(`${from.name} ${signals[0]?.serverId ?? ""}`));
    gw1?.publishSignals([
        { serverId: "tables/t1", kind: "leaving", epoch: 0, incarnation: undefined, ageMs: 0 },
    ]);
    await until(() => receivedSignals.length > 0);
    assert.equal(receivedSignals[0], "gw1 tables/t1");

    platform.setFaults({ down: "refusing" });
    await until(() => members.every(member => member.status()?.confirmed === false));
    assert.ok(members.every(member => member.mayTakeNewWork()), "a majority is in contact");
    const second = { changeId: "second", expectedRevision: 1, configuration: createConfiguration("out") };
    const refused = (await coordinator.apply(second, 1_000)).swap().toMaybe().extract();
    assert.deepEqual([refused?.kind, refused?.didRun], ["storeUnavailable", "no"]);

    platform.setFaults({});
    const retried = (await coordinator.apply(second, 60_000)).toMaybe().extract();
    assert.deepEqual([retried?.revision, retried?.inForce], [2, true]);
    await gw2?.stop();
    assert.equal(gw2?.mayTakeNewWork(), false);
});
