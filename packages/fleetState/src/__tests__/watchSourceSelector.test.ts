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

test("of 114 gateways one for each 40 of a zone reads the store, and the others ask one of their own zone", () => {
    const fleet = createFleet(114);
    const choices = [...createSources(fleet)].map(([name, sources]) =>
        [name, nameOf(sources.choose(fleet, 0))] as const
    );
    const relays = new Set(choices.filter(([, source]) => source === "store").map(([name]) => name));
    assert.equal(relays.size, 3);
    for (const [name, source] of choices) {
        if (source !== "store") {
            assert.ok(relays.has(source), `${name} asks ${source}, which doesn't read the store`);
            assert.equal(zoneOf(fleet, source), zoneOf(fleet, name));
        }
    }
    const larger = createFleet(3 * (followersPerRelay + 1));
    const direct = [...createSources(larger).values()].filter(sources => nameOf(sources.choose(larger, 0)) === "store");
    assert.equal(direct.length, 6);
});

test("a gateway that knows of no other one reads the store", () => {
    const alone = createFleet(1);
    const sources = new WatchSourceSelector("gateway-0", "north");
    assert.equal(nameOf(sources.choose([], 0)), "store");
    assert.equal(nameOf(sources.choose(alone, 0)), "store");
});

// The relay of a zone loses power. Its followers are well and in touch, and a change must be in force with them after
// two seconds: they may spend no more than two questions in vain before they ask the store themselves.
test("after its relay a gateway asks another zone's, and after two in vain the store", () => {
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
    // Its own zone's relay is asked again once it has had the time to restart.
    assert.equal(nameOf(sources.choose(fleet, 950 + relayRetryDelayMs)), first);
});

test("a question that is answered makes earlier failures forgotten", () => {
    const fleet = createFleet(15);
    const [follower, first] = findFollower(fleet);
    const sources = new WatchSourceSelector(follower.name, follower.availabilityZone);
    sources.onFailure(first, 0);
    const second = nameOf(sources.choose(fleet, 0));
    sources.onAnswer(second);
    sources.onFailure(second, 1_000);
    assert.notEqual(nameOf(sources.choose(fleet, 1_000)), "store");
});

// Two gateways see different rosters, so that one asks another that asks somebody itself. Passed on like that, changes
// could go round in a circle and grow old with nobody noticing.
test("a gateway that is asked reads the store itself for as long as it is asked", () => {
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
    throw new Error("nobody follows");
}

// Guards against a gateway that leaves the store to relays which are all cut off from it, because one call of its own was reset. The
// configuration that it missed meanwhile came into force seconds too late.
test("all relays are cut off: the gateway goes on with the store itself, whatever becomes of a call", () => {
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

// Guards against a change that comes late after an outage, because relays that are dead are waited for a second time.
test("as the store is found again, relays that gave no answer aren't asked anew, and those that were cut off are", () => {
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
