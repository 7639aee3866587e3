import assert from "node:assert/strict";
import { test } from "node:test";
import { departedGatewayGraceMs, findOwners, GatewayRoster } from "../index.js";

// Guards against exceeding a rate limit: the registration of a gateway that is cut off from the store expires while the
// gateway still works. If it were dropped at once, the others would take over its share while it still uses it.
test("a departed gateway stays a member for the grace period", () => {
    const roster = new GatewayRoster();
    roster.onRegistered("a", "lease-1");
    roster.onRegistered("b", "lease-1");
    roster.onUnregistered("a", 1_000);
    assert.deepEqual(roster.names(1_000 + departedGatewayGraceMs - 1), ["a", "b"]);
    assert.deepEqual(roster.names(1_000 + departedGatewayGraceMs), ["b"]);
});

test("a gateway that returns within the grace period is counted once", () => {
    const roster = new GatewayRoster();
    roster.onRegistered("a", "lease-1");
    roster.onUnregistered("a", 1_000);
    roster.onRegistered("a", "lease-1");
    assert.deepEqual(roster.names(1_001), ["a"]);
});

test("owners do not depend on the order of names, are spread evenly, and change only with gateways that leave", () => {
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
