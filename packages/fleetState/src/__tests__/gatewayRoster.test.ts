import assert from "node:assert/strict";
import { test } from "node:test";
import { departedGatewayGraceMs, findOwners, GatewayRoster } from "../index.js";

// A gateway's registration lapses while it still works, cut off from the store. Were it dropped from the number at once,
// the others would take its share while it uses it too, and together they would exceed the whole.
test("a gateway that is gone counts for a while", () => {
    const roster = new GatewayRoster();
    roster.onRegistered("a", "lease-1");
    roster.onRegistered("b", "lease-1");
    roster.onUnregistered("a", 1_000);
    assert.deepEqual(roster.names(1_000 + departedGatewayGraceMs - 1), ["a", "b"]);
    assert.deepEqual(roster.names(1_000 + departedGatewayGraceMs), ["b"]);
});

test("a gateway that comes back counts once", () => {
    const roster = new GatewayRoster();
    roster.onRegistered("a", "lease-1");
    roster.onUnregistered("a", 1_000);
    roster.onRegistered("a", "lease-1");
    assert.deepEqual(roster.names(1_001), ["a"]);
});

test("owners are the same for everyone, spread evenly, and move only with those who leave", () => {
    const names = Array.from({ length: 15 }, (_, i) => `gateway-${i}`);
    const subjects = Array.from({ length: 600 }, (_, i) => `server-${i}`);
    const owned = new Map<string, number>();
    for (const subject of subjects) {
        const owners = findOwners(subject, names, 2);
        assert.deepEqual(findOwners(subject, [...names].reverse(), 2), owners);
        for (const owner of owners) {
            owned.set(owner, (owned.get(owner) ?? 0) + 1);
        }
        const without = findOwners(subject, names.filter(name => name !== "gateway-3"), 2);
        if (!owners.includes("gateway-3")) {
            assert.deepEqual(without, owners);
        }
    }
    const counts = names.map(name => owned.get(name) ?? 0);
    assert.ok(Math.min(...counts) > 40 && Math.max(...counts) < 130, `80 each on average: ${counts.join(" ")}`);
});
