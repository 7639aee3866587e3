import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { maxRequestsInWindow, findMaxWindowUsage } from "./support/limitSimulation.js";
import { createFleet, offerLoadAtLimit, offerPoissonLoad } from "./support/loads.js";
import { EqualShareLimiter } from "./support/comparedLimiters.js";

// A caller who keeps its limit is refused for rounding, for delays, or because a token bucket begins empty.
test("a workspace that uses its limit exactly is not refused in normal operation", () => {
    const sizes = [[1, 1], [2, 40], [3, 0.5], [3, 250], [13, 3], [13, 200], [40, 1], [131, 30]] as const;
    for (const [seed, [hosts, perSecond]] of sizes.entries()) {
        const world = createFleet({ hosts, perSecond, seed });
        world.packetLossRate = 0.025;
        const offered = offerLoadAtLimit(world, { perSecond, burst: perSecond, fromMs: 5_000, untilMs: 13_000 });
        world.run(14_000);
        const refused = world.countOutcomes("overLimit") + world.countOutcomes("unsure");
        assert.ok(
            refused <= offered * 0.002,
            `${hosts} hosts, ${perSecond} per second: ${refused} of ${offered} refused`,
        );
        assert.ok(world.countOutcomes("admitted") > 0);
    }
});

test("static equal shares refuse much of the same load, as most parts of it are too small to be used", () => {
    const world = createFleet({ hosts: 131, perSecond: 100, seed: 5, create: name => new EqualShareLimiter(name) });
    const offered = offerLoadAtLimit(world, { perSecond: 100, burst: 100, fromMs: 5_000, untilMs: 15_000 });
    world.run(16_000);
    assert.ok(world.refusedCallers > offered * 0.2, `${world.refusedCallers} of ${offered} refused`);
});

// Without a bound on it, a workspace that jumps far over its limit takes the servers from all others; cut too far, it lost what it paid for.
test("a workspace at 4.5 times its limit gets its limit, and is told when to come back", () => {
    const world = createFleet({ hosts: 13, perSecond: 60, seed: 1 });
    offerPoissonLoad(world, { perSecond: 270, fromMs: 5_000, untilMs: 15_000 });
    world.run(16_000);
    const admitted = world.outcomes.filter(({ type }) => type === "admitted");
    assert.ok(admitted.length >= 600 && admitted.length <= 700, `${admitted.length} admitted in ten seconds`);
    assert.equal(world.countOutcomes("unsure"), 0);
    const rule = { workspace: "a", perSecond: 60, burst: 60, configVersion: 1 };
    assert.ok(findMaxWindowUsage(admitted.map(({ atMs }) => atMs), () => maxRequestsInWindow(rule)) <= 1);
});

// A killed fleet stays without tokens for longer than its processes need to start.
test("while most hosts are killed for two seconds, under 1 % of a usual demand is refused, where requests can wait a second", () => {
    const world = createFleet({ hosts: 60, perSecond: 100, seed: 2, holdMs: 1_000 });
    const random = createRandomSource(3);
    const offered = offerPoissonLoad(world, { perSecond: 100 / 1.6, fromMs: 5_000, untilMs: 25_000, retries: 2 });
    world.queue.schedule(10_000, () => {
        for (const host of world.hosts.filter(() => random.next() < 0.55)) {
            world.crash(host);
            world.queue.schedule(2_000 + random.next() * 200, () => world.start(host, 400));
        }
    });
    world.run(26_000);
    assert.ok(world.refusedCallers <= offered * 0.01, `${world.refusedCallers} of ${offered} refused`);
});
