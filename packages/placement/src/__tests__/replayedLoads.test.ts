import assert from "node:assert/strict";
import { test } from "node:test";
import { objectiveMs, patienceMs, ReplayFleet, type ReplayInput } from "./support/replay.js";

/**
 * Twelve servers with three slots each, a quarter of them slow at any moment: a capacity of about 110 requests per
 * second.
 */
const base = { seed: 5, gateways: 15, servers: 12, forMs: 20_000 } satisfies Partial<ReplayInput>;
const coldLimit = 4.2 * 1.5 + 5;
const seeds = [5, 6, 7];

function mean(figures: readonly number[]): number {
    return figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
}

/** @returns the maximum number of arrivals at a cold server within any second */
function findBusiestColdSecond(fleet: ReplayFleet): number {
    const counts = fleet.servers.flatMap(({ coldArrivalsMs }) =>
        coldArrivalsMs.map(fromMs => coldArrivalsMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length)
    );
    return Math.max(0, ...counts);
}

// Guards against queues at servers when the load triples within 10 ms to more than their capacity: every request is
// late then, even for seconds after the load has dropped again.
test("load spike above capacity: far more requests in time than with random placement, during and after it", () => {
    const load = (nowMs: number): number => nowMs >= 5_000 && nowMs < 10_000 ? 200 : 70;
    for (const seed of [5, 6, 7]) {
        const probing = new ReplayFleet({ ...base, seed, load }).run();
        const baseline = new ReplayFleet({ ...base, seed, load, randomPlacement: true }).run();
        for (const [fromMs, toMs, gain] of [[0, 5_000, 0.15], [5_000, 10_000, 0.15], [11_000, 16_000, 0.1]] as const) {
            const share = probing.shareInTime(fromMs, toMs);
            const baselineShare = baseline.shareInTime(fromMs, toMs);
            assert.ok(
                share > baselineShare + gain,
                `seed ${seed}, from ${fromMs} ms: ${share} in time, ${baselineShare} with random placement`,
            );
        }
    }
});

// Guards against a drop of goodput through retries of callers: at 2.4 times the load, 40 percent of them retry at once,
// up to three times, so that each rejection adds load.
test("2.4 times the load, with 40 percent of the callers retrying at once: the servers' work stays useful", () => {
    const load = (nowMs: number): number => nowMs >= 5_000 && nowMs < 12_000 ? 240 : 100;
    const input = { ...base, load, impatientShare: 0.4 };
    const probing = new ReplayFleet(input).run();
    const baseline = new ReplayFleet({ ...input, randomPlacement: true }).run();
    const during = probing.shareInTime(5_000, 12_000);
    assert.ok(during > baseline.shareInTime(5_000, 12_000) + 0.15, `${during} in time`);
    const tries = probing.tries / probing.callers.length;
    assert.ok(tries < 2.5, `${tries} tries per caller`);
});

// Guards against overload of cold servers: a zone that was taken out at nearly full load returns, and its idle cold
// servers attract the waiting requests of all gateways.
test("a zone that is taken out at full load and returns cold: its servers get no more than their limit", () => {
    const input: ReplayInput = {
        ...base,
        load: () => 95,
        onStep: (fleet, nowMs) => {
            if (nowMs === 4_000) {
                fleet.setZoneOut("north", true);
            }
            if (nowMs === 10_000) {
                fleet.setZoneOut("north", false);
                for (const server of fleet.servers.filter(each => each.registered.availabilityZone === "north")) {
                    server.coldUntilMs = 13_000;
                }
            }
        },
    };
    const fleets = seeds.map(seed => new ReplayFleet({ ...input, seed }).run());
    for (const fleet of fleets) {
        const max = findBusiestColdSecond(fleet);
        assert.ok(max > 0 && max <= coldLimit, `${max} requests in one second`);
        assert.ok(fleet.servers.some(({ coldArrivalsMs }) => coldArrivalsMs.length > 3), "cold servers are used");
    }
    assert.ok(findBusiestColdSecond(new ReplayFleet({ ...input, randomPlacement: true }).run()) > coldLimit);
    const share = mean(fleets.map(fleet => fleet.shareInTime(14_000, 19_000)));
    assert.ok(share > 0.75, `${share} in time once all servers are warm`);
});

// Guards against unlimited retries when servers reject half of the requests although they have spare capacity. Retries
// stop at the fleet's allowance, and callers get a short Retry-After then.
test("servers that turn away half of the requests: retries stay within the allowance, most callers are served", () => {
    const fleets = seeds.map(seed =>
        new ReplayFleet({
            ...base,
            seed,
            load: () => 60,
            onStep: ({ servers }, nowMs) => {
                for (const server of servers) {
                    server.rejectShare = nowMs >= 5_000 && nowMs < 12_000 ? 0.5 : 0;
                }
            },
        }).run()
    );
    for (const fleet of fleets) {
        assert.ok(
            fleet.repeatedArrivals < fleet.tries * 0.2 + 58 * 2,
            `${fleet.repeatedArrivals} repeats of ${fleet.tries}`,
        );
        assert.ok(
            fleet.shareServed(5_000, 12_000) > 0.8,
            `${fleet.shareServed(5_000, 12_000)} served while servers turned requests away`,
        );
    }
    const after = mean(fleets.map(fleet => fleet.shareInTime(13_000, 18_000)));
    assert.ok(after > 0.95, `${after} in time afterwards`);
});

// Guards against exceeding the fleet's allowance when half of the gateways lose power and return a second later with
// new budgets, while the others get twice the requests.
test("half of the gateways restart under load: callers are still served, and retries stay within the allowance", () => {
    const fleet = new ReplayFleet({
        ...base,
        load: () => 90,
        onStep: (each, nowMs) => {
            if (nowMs === 6_000 || nowMs === 9_000) {
                each.restart(0.5, 1_000);
            }
            for (const server of each.servers) {
                server.rejectShare = nowMs >= 5_000 && nowMs < 15_000 ? 0.3 : 0;
            }
        },
    }).run();
    assert.ok(
        fleet.repeatedArrivals < fleet.tries * 0.2 + 58 * 2,
        `${fleet.repeatedArrivals} repeats of ${fleet.tries}`,
    );
    assert.ok(fleet.shareServed(6_000, 12_000) > 0.9, `${fleet.shareServed(6_000, 12_000)} served`);
});

// Guards against work for callers that have disconnected: near capacity, half of the callers disconnect after half of
// the objective, and the slots of their cancelled requests have to serve the others.
test("callers that leave at half of their objective: more of the others are in time than if all had stayed", () => {
    const load = (): number => 170;
    const staying = new ReplayFleet({ ...base, load }).run();
    const leaving = new ReplayFleet({
        ...base,
        load,
        resolvePatienceMs: random => random.next() < 0.5 ? objectiveMs / 2 : patienceMs,
    }).run();
    const stayed = leaving.callers.filter(caller => caller.patienceMs === patienceMs);
    const inTime = stayed.filter(({ arrivedAtMs, answeredAtMs }) =>
        answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= objectiveMs
    );
    const share = inTime.length / stayed.length;
    assert.ok(
        share > staying.shareInTime(0, 19_000) + 0.03,
        `${share} in time, ${staying.shareInTime(0, 19_000)} if all stay`,
    );
});

/**
 * @returns the maximum number of probes of any server within ten seconds, during a load spike with restarts of gateways
 */
function findMaxProbes(perSecond: number): number {
    const windowMs = 10_000;
    const samples: { readonly atMs: number; readonly counts: readonly number[]; }[] = [];
    new ReplayFleet({
        ...base,
        seed: 9,
        load: nowMs => nowMs >= 3_000 ? perSecond : 70,
        impatientShare: 0.4,
        onStep: (fleet, nowMs) => {
            if (nowMs === 6_000 || nowMs === 9_000) {
                fleet.restart(0.5, 700);
            }
            if (nowMs % 500 === 0) {
                samples.push({ atMs: nowMs, counts: fleet.servers.map(({ probes }) => probes) });
            }
        },
    }).run();
    let max = 0;
    for (const { atMs, counts } of samples) {
        const end = samples.find(sample => sample.atMs === atMs + windowMs);
        for (const [i, count] of counts.entries()) {
            max = Math.max(max, (end?.counts[i] ?? 0) - count);
        }
    }
    return max;
}

// Guards against exceptions from the probe budget for newly arrived requests and last searches: with these, probes grew
// with the load and exceeded the allowance. The load triples, callers retry at once, and half of the gateways restart
// twice.
test("a load spike with restarts: no server gets more probes than its allowance in any ten seconds", () => {
    const max = findMaxProbes(240);
    assert.ok(max > 100 && max <= 600, `${max} probes in ten seconds`);
});

// Guards against rejecting all priorities at the same rate under overload: a quarter of the requests has high priority,
// and the servers have enough capacity for these alone.
test("a load above capacity: requests of high priority are served before others", () => {
    const resolvePriority: ReplayInput["resolvePriority"] = random => random.next() < 0.25 ? 0 : 2;
    const servedShare = (fleet: ReplayFleet, priority: number): number => {
        const arrived = fleet.callers.filter(caller => caller.kind.priority === priority && caller.arrivedAtMs > 4_000);
        const inTime = arrived.filter(({ arrivedAtMs, answeredAtMs }) =>
            answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= objectiveMs
        );
        return inTime.length / arrived.length;
    };
    for (const seed of [5, 6, 7]) {
        const fleet = new ReplayFleet({ ...base, seed, load: () => 160, resolvePriority }).run();
        const high = servedShare(fleet, 0);
        const low = servedShare(fleet, 2);
        assert.ok(
            high > low + 0.15,
            `seed ${seed}: ${high} of the high priority in time, ${low} of the others`,
        );
    }
});
