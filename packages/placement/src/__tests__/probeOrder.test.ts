import { type RegisteredServer } from "@galenaglade/fleet-state";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseProbeCount, defaultPlacementPolicy, orderForProbing, ProbeGroups, subsetServers } from "../index.js";

function createServers(count: number, zones: readonly string[]): readonly RegisteredServer[] {
    return Array.from({ length: count }, (_, i) => ({
        id: `server-${i}`,
        service: "tables",
        address: { host: "127.0.0.1", port: 9_000 + i },
        availabilityZone: zones[i % zones.length] ?? "",
        slots: 3,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    }));
}

function inZone(servers: readonly RegisteredServer[], zone: string): readonly RegisteredServer[] {
    return servers.filter(({ availabilityZone }) => availabilityZone === zone);
}

const zoneGateways = Array.from({ length: 38 }, (_, i) => `gateway-${i}`);

/** @returns a predicate for the servers of the zone that a gateway probes first */
function createSubset(
    name: string,
    gateways = zoneGateways,
): (server: RegisteredServer, zoneServers: number) => boolean {
    const groups = new ProbeGroups(name, "north", 60, defaultPlacementPolicy);
    groups.update({ gateways, zoneGateways: gateways });
    return (server, zoneServers) => groups.isInGroup(server, zoneServers);
}

test("probe order: suspected servers last, the own zone first, and there the gateway's subset", () => {
    const servers = createServers(90, ["north", "south"]);
    const nearCount = inZone(servers, "north").length;
    const inSubset = createSubset("gateway-1");
    const subset = new Set(servers.filter(server => inSubset(server, nearCount)).map(({ id }) => id));
    const ordered = orderForProbing({
        servers,
        availabilityZone: "north",
        isInSubset: server => inSubset(server, nearCount),
        isSuspect: id => id === "server-0",
        goodChanceOf: () => 0.75,
        random: createRandomSource(1),
    });
    assert.equal(ordered.length, servers.length);
    assert.ok(subset.size > subsetServers / 2);
    assert.ok(ordered.slice(0, subset.size - 1).every(({ id }) => subset.has(id)));
    const firstOfOther = ordered.findIndex(({ availabilityZone }) => availabilityZone === "south");
    assert.ok(ordered.slice(firstOfOther, -1).every(({ availabilityZone }) => availabilityZone === "south"));
    assert.equal(ordered.at(-1)?.id, "server-0");
});

test("with few servers, and no more gateways than fit in a group, every server is in every gateway's subset", () => {
    const servers = createServers(4, ["north"]);
    const fewGateways = zoneGateways.slice(0, 15);
    for (const name of fewGateways) {
        const inSubset = createSubset(name, fewGateways);
        assert.ok(servers.every(server => inSubset(server, servers.length)));
    }
});

test("adding or removing a server changes a gateway's subset by at most one", () => {
    const servers = createServers(45, ["north"]);
    const inSubset = createSubset("gateway-1");
    const choose = (from: readonly RegisteredServer[]): readonly RegisteredServer[] =>
        from.filter(server => inSubset(server, from.length));
    const before = choose(servers);
    for (const removed of servers) {
        const after = choose(servers.filter(server => server !== removed));
        assert.ok(after.filter(server => !before.includes(server)).length <= 1);
    }
});

// Guards against a new connection for nearly every probe. If 38 gateways of a zone spread up to four probes per request
// over all 45 servers, each connection is used only once in 25 s, and closed as idle before its next use.
test("most probes reuse a recently used connection, and the probes are spread evenly over the servers", () => {
    const servers = createServers(45, ["north"]);
    const random = createRandomSource(1);
    const idleMs = 8_000;
    const perGatewayAndSecond = 2;
    const lastProbedMs = new Map<string, number>();
    const probesByServer = new Map<string, number>();
    let newConnections = 0;
    let probes = 0;
    const gateways = zoneGateways.map(name => ({ name, inSubset: createSubset(name) }));
    for (let atMs = 0; atMs < 60_000; atMs += 1_000 / perGatewayAndSecond) {
        for (const { name, inSubset } of gateways) {
            const ordered = orderForProbing({
                servers,
                availabilityZone: "north",
                isInSubset: server => inSubset(server, servers.length),
                isSuspect: () => false,
                goodChanceOf: () => 0.75,
                random,
            });
            for (const { id } of ordered.slice(0, chooseProbeCount(ordered.map(() => 0.75)))) {
                const pair = `${name} ${id}`;
                probes++;
                newConnections += atMs - (lastProbedMs.get(pair) ?? -Infinity) > idleMs ? 1 : 0;
                lastProbedMs.set(pair, atMs);
                probesByServer.set(id, (probesByServer.get(id) ?? 0) + 1);
            }
        }
    }
    const requests = 60 * perGatewayAndSecond * gateways.length;
    assert.ok(newConnections / requests < 0.2, `${newConnections} connections opened for ${requests} requests`);
    const counts = servers.map(({ id }) => probesByServer.get(id) ?? 0);
    const mean = probes / servers.length;
    assert.ok(Math.min(...counts) > mean * 0.4 && Math.max(...counts) < mean * 1.8, counts.join(" "));
});
