import { type RegisteredServer } from "@galenaglade/fleet-state";
import { findMaxWithin } from "@galenaglade/replay";
import { createRandomSource } from "@galenaglade/routing";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { assignProbingZones, defaultPlacementPolicy, ProbeBudget, ProbeAssignments } from "../index.js";

const zones = ["north", "south", "west"];

function createGateways(perZone: number): ReadonlyMap<string, readonly string[]> {
    return new Map(zones.map(zone => [zone, Array.from({ length: perZone }, (_, i) => `${zone}-${i}`)]));
}

function gatewayCounts(serversByZone: Readonly<Record<string, number>>): readonly number[] {
    const assigned = assignProbingZones({
        gatewaysByZone: createGateways(40),
        serversByZone: new Map(Object.entries(serversByZone)),
    });
    assert.equal(new Set(assigned.flatMap(({ gateways }) => gateways)).size, 120);
    return zones.map(zone => assigned.find(({ availabilityZone }) => availabilityZone === zone)?.gateways.length ?? 0);
}

test("gateways are assigned to their own zone while it has its share of the servers", () => {
    assert.deepEqual(gatewayCounts({ north: 20, south: 24, west: 16 }), [40, 40, 40]);
});

test("gateways of a zone without servers are assigned to the zones that are short of gateways", () => {
    assert.deepEqual(gatewayCounts({ north: 20, south: 20 }), [60, 60, 0]);
    assert.deepEqual(gatewayCounts({ north: 30, south: 10 }), [80, 40, 0]);
    assert.deepEqual(gatewayCounts({ north: 28, south: 28, west: 1 }), [58, 57, 5]);
});

test("a service without servers, or a zone without gateways, doesn't change the assignment of the others", () => {
    assert.deepEqual(gatewayCounts({}), [40, 40, 40]);
    const assigned = assignProbingZones({
        gatewaysByZone: new Map([["north", ["a", "b"]]]),
        serversByZone: new Map([["north", 3], ["south", 3]]),
    });
    assert.deepEqual(assigned.map(({ gateways }) => gateways.length), [2, 0]);
});

function createServer(id: string, availabilityZone: string): RegisteredServer {
    return {
        id,
        service: "tables",
        address: { host: "127.0.0.1", port: 1 },
        availabilityZone,
        slots: 4,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    };
}

// Guards against servers that are kept busy by probes while only some of the gateways know that a zone was taken out.
test("no server gets more probes than its allowance while gateways differ in whether a zone is out", () => {
    const fleet = fc.record({
        seed: fc.integer({ min: 1, max: 100_000 }),
        perZone: fc.integer({ min: 2, max: 100 }),
        servers: fc.integer({ min: 1, max: 20 }),
        knownShare: fc.double({ min: 0, max: 1, noNaN: true }),
    });
    fc.assert(
        fc.property(fleet, ({ seed, perZone, servers, knownShare }) => {
            const random = createRandomSource(seed);
            const allServers = zones.flatMap(zone =>
                Array.from({ length: servers }, (_, i) => createServer(`${zone}-${i}`, zone))
            );
            const gatewaysByZone = createGateways(perZone);
            const names = [...gatewaysByZone.values()].flat();
            const probedAtMs = new Map(allServers.map(({ id }) => [id, new Array<number>()]));
            const gateways = names.map(name => {
                const availabilityZone = name.split("-")[0] ?? "";
                const probes = new ProbeAssignments({
                    name,
                    availabilityZone,
                    probesPerServerAndSecond: 60,
                    policy: defaultPlacementPolicy,
                });
                const usable = random.next() < knownShare
                    ? allServers.filter(each => each.availabilityZone !== "west")
                    : allServers;
                const zoneGateways = gatewaysByZone.get(availabilityZone) ?? [];
                const { shareOf } = probes.of("tables", usable, { gateways: names, zoneGateways, gatewaysByZone });
                return { usable, shareOf, budget: new ProbeBudget(-600_000) };
            });
            for (let nowMs = 0; nowMs < 12_000; nowMs += 100) {
                for (const { usable, shareOf, budget } of gateways) {
                    const input = {
                        ordered: usable,
                        purpose: "arrival",
                        maxProbes: usable.length,
                        shareOf,
                        nowMs,
                    } as const;
                    budget.take(input).forEach(({ id }) => probedAtMs.get(id)?.push(nowMs));
                }
            }
            const max = Math.max(...[...probedAtMs.values()].map(times => findMaxWithin(times, 10_000)));
            assert.ok(max <= 600, `${max} probes in ten seconds`);
        }),
        { seed: 2, numRuns: 20 },
    );
});
