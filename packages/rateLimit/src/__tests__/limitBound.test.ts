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

// A workspace takes from backend servers what others paid for, while a fault makes two allocators count one host's share.
test("no five seconds admit more than the bound, whatever happens to hosts, links, clocks, rosters and limits", t => {
    let worst = { part: 0, seed: 0 };
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
        const run = new RandomScenario(seed);
        const part = run.run();
        worst = part > worst.part ? { part, seed } : worst;
        assert.ok(part <= 1, `seed ${seed}: ${part.toFixed(3)} of what a window may admit\n${run.log.join("\n")}`);
    }
    t.diagnostic(`${runs} runs, at most ${worst.part.toFixed(3)} of what a window may admit (seed ${worst.seed})`);
});

// A check that no way of limiting fails would prove nothing.
test("a single owner without shares breaks the bound in the same runs", () => {
    const seeds = Array.from({ length: 30 }, (_, i) => i + 1);
    const broken = seeds.filter(seed => new RandomScenario(seed, name => new SingleOwnerLimiter(name)).run() > 1);
    assert.ok(broken.length > 0);
});

// Heartbeats that were under way for seconds reach an allocator whose hosts have gone to the next one: a lease that began with their arrival
// would count their shares at both.
test("heartbeats that come seconds late don't extend their hosts' leases", () => {
    const world = createFleet({ hosts: 13, perSecond: 200, burst: 0, seed: 1 });
    const workspace = world.hosts[0]?.rule?.workspace ?? "";
    const [first] = findOwners(`rate limits ${groupOf(workspace)}`, world.hosts.map(({ name }) => name), 1);
    const near = world.hosts.find(({ name }) => name !== first)?.name;
    const isSlow = (): boolean => world.queue.nowMs > 6_000 && world.queue.nowMs < 9_000;
    world.maxDelayMs = (from, to) => isSlow() && to === first && from !== near ? 3_000 : 2;
    offerPoissonLoad(world, { perSecond: 4_000, fromMs: 4_000, untilMs: 13_000 });
    world.run(14_000);
    const admitted = world.outcomes.filter(({ type }) => type === "admitted").map(({ atMs }) => atMs);
    const worst = findMaxWindowUsage(admitted, () => maxRequestsInWindow({ perSecond: 200, burst: 0 }));
    assert.ok(worst <= 1, `${worst.toFixed(3)} of what a window may admit`);
});
