import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { maxRequestsInWindow, findMaxWindowUsage } from "./support/limitSimulation.js";
import { createFleet, offerLoadAtLimit, offerPoissonLoad } from "./support/loads.js";
import { EqualShareLimiter } from "./support/comparedLimiters.js";

// Guards against refusing a caller that keeps its limit because of rounding, delays or an initially empty bucket.
test("a workspace that uses its limit exactly is not refused in normal operation", () => {
    const sizes = [[1, 1], [2, 40], [3, 0.5], [3, 250], [13, 3], [13, 200], [40, 1], [131, 30]] as const;
    for (const [seed, [hosts, perSecond]] of sizes.entries()) {
        const simulation = createFleet({ hosts, perSecond, seed });
        simulation.packetLossRate = 0.025;
        const offered = offerLoadAtLimit(simulation, { perSecond, burst: perSecond, fromMs: 5_000, untilMs: 13_000 });
        simulation.run(14_000);
        const refused = simulation.countOutcomes("overLimit") + simulation.countOutcomes("unsure");
        assert.ok(
            refused <= offered * 0.002,
            `${hosts} hosts, ${perSecond} per second: ${refused} of ${offered} refused`,
        );
        assert.ok(simulation.countOutcomes("admitted") > 0);
    }
});

test("static equal shares refuse much of the same load, since most of the shares are too small to be used", () => {
    const simulation = createFleet({
        hosts: 131,
        perSecond: 100,
        seed: 5,
        create: name => new EqualShareLimiter(name),
    });
    const offered = offerLoadAtLimit(simulation, { perSecond: 100, burst: 100, fromMs: 5_000, untilMs: 15_000 });
    simulation.run(16_000);
    assert.ok(simulation.refusedCallers > offered * 0.2, `${simulation.refusedCallers} of ${offered} refused`);
});

// Guards against a workspace far over its limit that either overloads the servers for all others or is admitted at less
// than its limit.
test("a workspace at 4.5 times its limit is admitted at its limit, and never refused for lack of a decision", () => {
    const simulation = createFleet({ hosts: 13, perSecond: 60, seed: 1 });
    offerPoissonLoad(simulation, { perSecond: 270, fromMs: 5_000, untilMs: 15_000 });
    simulation.run(16_000);
    const admitted = simulation.outcomes.filter(({ type }) => type === "admitted");
    assert.ok(admitted.length >= 600 && admitted.length <= 700, `${admitted.length} admitted in ten seconds`);
    assert.equal(simulation.countOutcomes("unsure"), 0);
    const rule = { workspace: "a", perSecond: 60, burst: 60, configVersion: 1 };
    assert.ok(findMaxWindowUsage(admitted.map(({ atMs }) => atMs), () => maxRequestsInWindow(rule)) <= 1);
});

// Guards against a fleet that, after most hosts were killed, grants no tokens for longer than its processes take to
// start.
test("with most hosts down for two seconds, under 1 % of a usual load is refused if requests can wait", () => {
    const simulation = createFleet({ hosts: 60, perSecond: 100, seed: 2, decisionTimeoutMs: 1_000 });
    const random = createRandomSource(3);
    const offered = offerPoissonLoad(simulation, { perSecond: 100 / 1.6, fromMs: 5_000, untilMs: 25_000, retries: 2 });
    simulation.queue.schedule(10_000, () => {
        for (const host of simulation.hosts.filter(() => random.next() < 0.55)) {
            simulation.crash(host);
            simulation.queue.schedule(2_000 + random.next() * 200, () => simulation.start(host, 400));
        }
    });
    simulation.run(26_000);
    assert.ok(simulation.refusedCallers <= offered * 0.01, `${simulation.refusedCallers} of ${offered} refused`);
});
