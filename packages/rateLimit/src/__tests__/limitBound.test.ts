import { findOwners } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { test } from "node:test";
import { groupOf } from "../index.js";
import { RandomScenario } from "./support/randomScenario.js";
import { maxRequestsInWindow, findMaxWindowUsage } from "./support/limitSimulation.js";
import { createFleet, offerPoissonLoad } from "./support/loads.js";
import { SingleOwnerLimiter } from "./support/comparedLimiters.js";

const runs = Number(process.env["LIMIT_RUNS"] ?? 100);
const firstSeed = Number(process.env["LIMIT_SEED"] ?? 1);

// Guards against a workspace that exceeds its limit at the expense of others because a fault makes two allocators count
// the share of one host.
test("no five-second window exceeds the bound under faults of hosts, links and clocks or new rosters and limits", t => {
    let worst = { usage: 0, seed: 0 };
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
        const run = new RandomScenario(seed);
        const usage = run.run();
        worst = usage > worst.usage ? { usage, seed } : worst;
        assert.ok(
            usage <= 1,
            `seed ${seed}: ${usage.toFixed(3)} of the requests allowed in a window\n${run.log.join("\n")}`,
        );
    }
    t.diagnostic(
        `${runs} runs, at most ${worst.usage.toFixed(3)} of the requests allowed in a window (seed ${worst.seed})`,
    );
});

// Guards against a check that can't fail: a simpler limiter must exceed the bound in the same scenarios.
test("a single allocator without shares exceeds the bound in the same scenarios", () => {
    const seeds = Array.from({ length: 30 }, (_, i) => i + 1);
    const broken = seeds.filter(seed => new RandomScenario(seed, name => new SingleOwnerLimiter(name)).run() > 1);
    assert.ok(broken.length > 0);
});

// Heartbeats delayed by seconds reach an allocator whose hosts have switched to the next one. Leases counted from their
// arrival would make both allocators hold the shares.
test("heartbeats that arrive seconds late don't extend leases", () => {
    const simulation = createFleet({ hosts: 13, perSecond: 200, burst: 0, seed: 1 });
    const workspace = simulation.hosts[0]?.rule?.workspace ?? "";
    const [first] = findOwners(`rate limits ${groupOf(workspace)}`, simulation.hosts.map(({ name }) => name), 1);
    const near = simulation.hosts.find(({ name }) => name !== first)?.name;
    const isSlow = (): boolean => simulation.queue.nowMs > 6_000 && simulation.queue.nowMs < 9_000;
    simulation.maxDelayMs = (from, to) => isSlow() && to === first && from !== near ? 3_000 : 2;
    offerPoissonLoad(simulation, { perSecond: 4_000, fromMs: 4_000, untilMs: 13_000 });
    simulation.run(14_000);
    const admitted = simulation.outcomes.filter(({ type }) => type === "admitted").map(({ atMs }) => atMs);
    const worst = findMaxWindowUsage(admitted, () => maxRequestsInWindow({ perSecond: 200, burst: 0 }));
    assert.ok(worst <= 1, `${worst.toFixed(3)} of the requests allowed in a window`);
});
