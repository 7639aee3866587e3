import { type Percentiles } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { test } from "node:test";
import { readProcessUsage } from "../bench/processUsage.js";
import { compareRounds, resolveSpread, type RunResult } from "../bench/results.js";
import { loadShapes, lonestatLoads, resolveCapacities } from "../bench/workload.js";

const counts = {
    sent: 1,
    whole: 1,
    withinPatience: 1,
    refused: 0,
    refusedDidNotRun: 0,
    wrong: 0,
    cutOff: 0,
    gaveUp: 0,
    notSent: 0,
};

function createRun(round: number, variant: string, p99: number): RunResult {
    const latency: Percentiles = { p50: 1, p99, p999: 1, max: 1, count: 1 };
    return {
        round,
        variant,
        load: "steady50",
        kinds: { "table-reads/union": { counts, latency, refusal: latency } },
        gatewayCpuMsPerRequest: 1,
        gatewayRssMegabytes: 1,
        storeReadsPerSecond: 1,
        storeWritesPerSecond: 1,
        machineLoad: 1,
        faults: [],
    };
}

test("the median of an even number of figures is the mean of the middle two", () => {
    assert.deepEqual(resolveSpread([4, 1, 3, 2]), { min: 1, median: 2.5, max: 4 });
    assert.deepEqual(resolveSpread([3, 1, 2]), { min: 1, median: 2, max: 3 });
});

test("ratios compare figures of the same round only", () => {
    // The machine is half as fast in round 2. A ratio of the medians over all rounds would hide that both agree.
    const runs = [
        createRun(1, "random", 100),
        createRun(1, "hotCold", 50),
        createRun(2, "hotCold", 100),
        createRun(2, "random", 200),
    ];
    const { figure, ratio } = compareRounds(
        runs,
        "steady50",
        "table-reads/union",
        "hotCold",
        "random",
        result => result.latency.p99,
    );
    assert.deepEqual(figure, { min: 50, median: 75, max: 100 });
    assert.deepEqual(ratio, { min: 0.5, median: 0.5, max: 0.5 });
});

test("a surge of one service does not reduce the offered load on the others", () => {
    const capacities = { total: 100, byService: new Map([["archive-extracts", 20]]) };
    const noisy = loadShapes.find(load => load.name === "noisy");
    const [baseline, surge] = noisy?.phases(capacities, 30_000) ?? [];
    assert.equal(baseline?.requestsPerSecond, 50);
    const factor = surge?.surge?.factor ?? 0;
    // 40 of the 50 requests per second go to other services; the noisy service's 10 are multiplied by the factor.
    assert.equal(surge?.requestsPerSecond, 40 + 10 * factor);
});

test("the capacity of a service is its slots divided by its mean processing time", () => {
    const backendServers = [{ name: "a", availabilityZone: "z", address: "127.0.0.1", port: 1 }];
    const service = {
        name: "table-reads",
        authorities: ["x"] as const,
        patience: [{ callerKind: "default", patienceMs: 1 }] as const,
        backendServers,
    };
    const cfg = { availabilityZones: [{ name: "z" }] as const, services: [service] };
    const [tables] = lonestatLoads;
    assert.ok(tables !== undefined);
    const { total } = resolveCapacities(cfg, [{ ...tables, medianMs: 30, sigma: 0 }]);
    assert.equal(total, 100);
});

test("the resource usage of a process is read from /proc", () => {
    const usage = readProcessUsage(process.pid);
    assert.ok(usage.cpuMs > 0);
    assert.ok(usage.rssMegabytes > 10);
});
