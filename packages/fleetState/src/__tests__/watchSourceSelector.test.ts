import assert from "node:assert/strict";
import { test } from "node:test";
import {
    directStoreReadMs,
    relayRetryDelayMs,
    followersPerRelay,
    type WatchSource,
    WatchSourceSelector,
    type RegisteredGateway,
} from "../index.js";

function createFleet(
    count: number,
    zones: readonly string[] = ["north", "middle", "south"],
): readonly RegisteredGateway[] {
    return Array.from({ length: count }, (_, i) => ({
        name: `gateway-${i}`,
        availabilityZone: zones[i % zones.length] ?? "",
        peerAddress: { host: "127.0.0.1", port: 7_000 + i },
    }));
}

function createSources(fleet: readonly RegisteredGateway[]): ReadonlyMap<string, WatchSourceSelector> {
    return new Map(fleet.map(({ name, availabilityZone }) => [name, new WatchSourceSelector(name, availabilityZone)]));
}

function nameOf(source: WatchSource | undefined): string {
    return source?.type === "peer" ? source.name : "store";
}

function zoneOf(fleet: readonly RegisteredGateway[], name: string): string {
    return fleet.find(gateway => gateway.name === name)?.availabilityZone ?? "";
}

test("of 114 gateways one per 40 in a zone watches the store, and the others ask a relay of their own zone", () => {
    const fleet = createFleet(114);
    const choices = [...createSources(fleet)].map(([name, sources]) =>
        [name, nameOf(sources.choose(fleet, 0))] as const
    );
    const relays = new Set(choices.filter(([, source]) => source === "store").map(([name]) => name));
    assert.equal(relays.size, 3);
    for (const [name, source] of choices) {
        if (source !== "store") {
            assert.ok(relays.has(source), `${name} asks ${source}, which does not read the store`);
            assert.equal(zoneOf(fleet, source), zoneOf(fleet, name));
        }
    }
    const larger = createFleet(3 * (followersPerRelay + 1));
    const direct = [...createSources(larger).values()].filter(sources => nameOf(sources.choose(larger, 0)) === "store");
    assert.equal(direct.length, 6);
});

test("a gateway without known peers reads the store", () => {
    const alone = createFleet(1);
    const sources = new WatchSourceSelector("gateway-0", "north");
    assert.equal(nameOf(sources.choose([], 0)), "store");
    assert.equal(nameOf(sources.choose(alone, 0)), "store");
});

// Guards against late changes after the relay of a zone loses power: a change must take effect in its followers within
// two seconds, so they may make no more than two failed requests before they ask the store itself.
test("when its relay fails a gateway asks one of another zone, and after two failures the store", () => {
    const fleet = createFleet(15);
    const [follower, first] = findFollower(fleet);
    const sources = new WatchSourceSelector(follower.name, follower.availabilityZone);
    assert.equal(nameOf(sources.choose(fleet, 0)), first);
    sources.onFailure(first, 950);
    const second = nameOf(sources.choose(fleet, 950));
    assert.notEqual(zoneOf(fleet, second), follower.availabilityZone);
    sources.onFailure(second, 1_250);
    assert.equal(nameOf(sources.choose(fleet, 1_250)), "store");
    assert.equal(nameOf(sources.choose(fleet, 1_250 + directStoreReadMs - 1)), "store");
    // The relay of its own zone is asked again after the time it takes to restart.
    assert.equal(nameOf(sources.choose(fleet, 950 + relayRetryDelayMs)), first);
});

test("an answer resets the count of consecutive failures", () => {
    const fleet = createFleet(15);
    const [follower, first] = findFollower(fleet);
    const sources = new WatchSourceSelector(follower.name, follower.availabilityZone);
    sources.onFailure(first, 0);
    const second = nameOf(sources.choose(fleet, 0));
    sources.onAnswer(second);
    sources.onFailure(second, 1_000);
    assert.notEqual(nameOf(sources.choose(fleet, 1_000)), "store");
});

// Guards against relay cycles, in which changes would circulate and become stale unnoticed: two gateways with different
// rosters may ask each other.
test("a gateway reads the store itself for as long as peers ask it for changes", () => {
    const fleet = createFleet(15);
    const [follower, first] = findFollower(fleet);
    const sources = new WatchSourceSelector(follower.name, follower.availabilityZone);
    sources.onPeerRequest(0);
    assert.equal(nameOf(sources.choose(fleet, directStoreReadMs - 1)), "store");
    sources.onPeerRequest(directStoreReadMs - 1);
    assert.equal(nameOf(sources.choose(fleet, 2 * directStoreReadMs - 2)), "store");
    assert.equal(nameOf(sources.choose(fleet, 2 * directStoreReadMs)), first);
});

function findFollower(fleet: readonly RegisteredGateway[]): readonly [RegisteredGateway, string] {
    for (const gateway of fleet) {
        const source = nameOf(new WatchSourceSelector(gateway.name, gateway.availabilityZone).choose(fleet, 0));
        if (source !== "store") {
            return [gateway, source];
        }
    }
    throw new Error("no gateway follows a relay");
}

// Guards against a configuration that takes effect seconds late: after one call of its own was reset, a gateway relied
// on relays that were all cut off from the store.
test("a gateway keeps calling the store itself while all relays are cut off from it", () => {
    const fleet = createFleet(114);
    const follower = [...createSources(fleet)].find(([, each]) => nameOf(each.choose(fleet, 0)) !== "store");
    assert.ok(follower);
    const [, sources] = follower;
    let relayTurns = 0;
    for (let nowMs = 0; nowMs < 12_000; nowMs += 100) {
        const name = nameOf(sources.choose(fleet, nowMs));
        relayTurns = name === "store" ? 0 : relayTurns + 1;
        assert.ok(relayTurns <= 3, `no call of the store for ${relayTurns} turns at ${nowMs} ms`);
        if (name !== "store") {
            sources.onFailure(name, nowMs);
        }
    }
});

// Guards against a late change after an outage because the gateway waits for dead relays a second time.
test("when the store is back, relays that were cut off from it are asked again and dead ones are not", () => {
    const fleet = createFleet(13);
    const [name, sources] = [...createSources(fleet)].find(([, each]) => nameOf(each.choose(fleet, 0)) !== "store")
        ?? [];
    assert.ok(name !== undefined && sources !== undefined);
    const dead = nameOf(sources.choose(fleet, 0));
    sources.onFailure(dead, 0);
    const cutOff = nameOf(sources.choose(fleet, 0));
    sources.onFailure(cutOff, 300, true);
    sources.onStoreRecovered();
    assert.equal(nameOf(sources.choose(fleet, 310)), cutOff);
});
