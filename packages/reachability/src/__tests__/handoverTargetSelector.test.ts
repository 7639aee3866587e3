import { type RegisteredGateway } from "@galenaglade/fleet-state";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HandoverTargetSelector } from "../index.js";

const noGateways: ReadonlySet<string> = new Set();

function createGateways(count: number, zones: number): readonly RegisteredGateway[] {
    return Array.from({ length: count }, (_, i) => ({
        name: `gateway-${i}`,
        availabilityZone: `zone-${i % zones}`,
        peerAddress: { host: "gateway", port: i },
    }));
}

function createSelector(): HandoverTargetSelector {
    return new HandoverTargetSelector({ name: "gateway-0", availabilityZone: "zone-0", random: createRandomSource(1) });
}

/** @returns how often each gateway is chosen */
function tally(
    selector: HandoverTargetSelector,
    gateways: readonly RegisteredGateway[],
    nowMs: number,
): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (let i = 0; i < 400; i++) {
        const name = selector.choose("tables", gateways, noGateways, nowMs)?.name ?? "none";
        counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
}

// Guards against gateways that hand requests to each other in a zone that is partitioned as a whole.
test("gateways known to reach the service are preferred to unknown ones of the own zone", () => {
    const selector = createSelector();
    const gateways = createGateways(30, 3);
    selector.onReachability("tables", "gateway-1", true, 0);
    selector.onReachability("tables", "gateway-2", true, 0);
    const counts = tally(selector, gateways, 100);
    assert.ok((counts.get("gateway-1") ?? 0) + (counts.get("gateway-2") ?? 0) > 320, [...counts].join(" "));
});

// Guards against handing requests to gateways that cannot reach the service, do not answer or have already had the
// request.
test("gateways that do not reach the service, do not answer or were tried are excluded for a limited time", () => {
    const selector = createSelector();
    const gateways = createGateways(4, 1);
    selector.onReachability("tables", "gateway-1", false, 0);
    selector.onUnresponsive("gateway-2", 0);
    assert.deepEqual([...tally(selector, gateways, 500).keys()], ["gateway-3"]);
    assert.equal(selector.choose("tables", gateways, new Set(["gateway-3"]), 500), undefined);
    assert.deepEqual([...tally(selector, gateways, 1_500).keys()].sort(), ["gateway-1", "gateway-3"]);
    assert.equal(tally(selector, gateways, 6_000).size, 3);
});

// Guards against overloading one handover target while others are idle.
test("of two gateways the one with fewer requests in flight from this host is chosen", () => {
    const selector = createSelector();
    const gateways = createGateways(3, 1);
    selector.onReachability("tables", "gateway-1", true, 0);
    selector.onReachability("tables", "gateway-2", true, 0);
    const end = selector.trackRequest("gateway-1");
    assert.deepEqual([...tally(selector, gateways, 1).keys()], ["gateway-2"]);
    end();
    assert.equal(tally(selector, gateways, 1).size, 2);
});

// Guards against slow searches when few gateways of a fleet reach a service: each would have to find them by itself.
test("gateways suggested by another one are asked first and count as reaching the service", () => {
    const selector = createSelector();
    const gateways = createGateways(300, 3);
    selector.onSuggested("tables", ["gateway-200", "gateway-0"], 0);
    assert.equal(selector.choosePeersToQuery("tables", gateways, noGateways, 4, 10)[0]?.name, "gateway-200");
    assert.deepEqual(selector.suggest("tables", 10), ["gateway-200"]);
    assert.ok(
        selector.choosePeersToQuery("tables", gateways, noGateways, 4, 10).every(({ name }) => name !== "gateway-0"),
        "a gateway never asks itself",
    );
});
