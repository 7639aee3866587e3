import assert from "node:assert/strict";
import { test } from "node:test";
import { objectiveMs, patienceMs, ReplayFleet, type ReplayInput } from "./support/replay.js";

/** Twelve servers of three slots bear about 110 requests a second, a fourth of them being slow at any moment. */
const usual = { seed: 5, gateways: 15, servers: 12, forMs: 20_000 } satisfies Partial<ReplayInput>;
const coldLimit = 4.2 * 1.5 + 5;
const seeds = [5, 6, 7];

function mean(figures: readonly number[]): number {
    return figures.reduce((sum, figure) => sum + figure, 0) / figures.length;
}

/** @returns the most arrivals at one server in any one second while it was cold */
function findBusiestColdSecond(fleet: ReplayFleet): number {
    const counts = fleet.servers.flatMap(({ coldArrivalsMs }) =>
        coldArrivalsMs.map(fromMs => coldArrivalsMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000).length)
    );
    return Math.max(0, ...counts);
}

// The load goes up threefold within 10 ms, to more than the servers bear, and falls again. Sent on, all of it queues at
// servers and is late, and for seconds after the load has fallen the queues are still there.
test("a load that jumps above what the servers bear: far more is answered in time, while it lasts and after it", () => {
    const load = (nowMs: number): number => nowMs >= 5_000 && nowMs < 10_000 ? 200 : 70;
    for (const seed of [5, 6, 7]) {
        const deciding = new ReplayFleet({ ...usual, seed, load }).run();
        const blind = new ReplayFleet({ ...usual, seed, load, blind: true }).run();
        for (const [fromMs, toMs, gain] of [[0, 5_000, 0.15], [5_000, 10_000, 0.15], [11_000, 16_000, 0.1]] as const) {
            const share = deciding.shareInTime(fromMs, toMs);
            const without = blind.shareInTime(fromMs, toMs);
            assert.ok(share > without + gain, `seed ${seed}, from ${fromMs} ms: ${share} against ${without}`);
        }
    }
});

// 2.4 times the load, and 40 in 100 callers come back at once, up to four times. Each refusal makes more load; what is
// answered must not sink below what the servers bear.
test("2.4 times the load with 40 in 100 callers repeating at once: the servers' work is still of use", () => {
    const load = (nowMs: number): number => nowMs >= 5_000 && nowMs < 12_000 ? 240 : 100;
    const more = { ...usual, load, impatientShare: 0.4 };
    const deciding = new ReplayFleet(more).run();
    const blind = new ReplayFleet({ ...more, blind: true }).run();
    const during = deciding.shareInTime(5_000, 12_000);
    assert.ok(during > blind.shareInTime(5_000, 12_000) + 0.15, `${during} in time`);
    const tries = deciding.tries / deciding.callers.length;
    assert.ok(tries < 2.5, `${tries} tries a caller`);
});

// A zone is taken out at nearly full load and comes back cold: its servers look idle, and every gateway has requests that
// wait. Given all of them, the servers would fall over one after the other.
test("a zone out at full load and back cold: its servers get what they bear and no more", () => {
    const input: ReplayInput = {
        ...usual,
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
        const most = findBusiestColdSecond(fleet);
        assert.ok(most > 0 && most <= coldLimit, `${most} in one second`);
        assert.ok(fleet.servers.some(({ coldArrivalsMs }) => coldArrivalsMs.length > 3), "cold servers are used");
    }
    assert.ok(findBusiestColdSecond(new ReplayFleet({ ...input, blind: true }).run()) > coldLimit);
    const share = mean(fleets.map(fleet => fleet.shareInTime(14_000, 19_000)));
    assert.ok(share > 0.75, `${share} once all are warm`);
});

// All servers turn half of the requests away although they have room. Each is sent once more while the allowance lasts,
// which is for the whole fleet, and then its caller is asked back shortly.
test("servers that turn half away: repeats stay within the allowance, and nearly all are served", () => {
    const fleets = seeds.map(seed =>
        new ReplayFleet({
            ...usual,
            seed,
            load: () => 60,
            onStep: ({ servers }, nowMs) => {
                for (const server of servers) {
                    server.rejects = nowMs >= 5_000 && nowMs < 12_000 ? 0.5 : 0;
                }
            },
        }).run()
    );
    for (const fleet of fleets) {
        assert.ok(
            fleet.repeatedArrivals < fleet.tries * 0.2 + 58 * 2,
            `${fleet.repeatedArrivals} repeats of ${fleet.tries}`,
        );
        assert.ok(fleet.shareServed(5_000, 12_000) > 0.8, `${fleet.shareServed(5_000, 12_000)} served`);
    }
    const after = mean(fleets.map(fleet => fleet.shareInTime(13_000, 18_000)));
    assert.ok(after > 0.95, `${after} in time afterwards`);
});

// Half of the gateways lose power under load and are back a second later, with new allowances. Those that stay take twice
// the requests, and the fleet as a whole may repeat no more than before.
test("half of the gateways restarted under load: the others serve on, and the allowance holds", () => {
    const fleet = new ReplayFleet({
        ...usual,
        load: () => 90,
        onStep: (each, nowMs) => {
            if (nowMs === 6_000 || nowMs === 9_000) {
                each.restart(0.5, 1_000);
            }
            for (const server of each.servers) {
                server.rejects = nowMs >= 5_000 && nowMs < 15_000 ? 0.3 : 0;
            }
        },
    }).run();
    assert.ok(
        fleet.repeatedArrivals < fleet.tries * 0.2 + 58 * 2,
        `${fleet.repeatedArrivals} repeats of ${fleet.tries}`,
    );
    assert.ok(fleet.shareServed(6_000, 12_000) > 0.9, `${fleet.shareServed(6_000, 12_000)} served`);
});

// Near the limit, half of the callers leave after half of the objective. Their work is given up, and the slots go to those
// who stay: more of them are answered in time than when everyone stays.
test("callers leaving at half their objective: the slots that they free serve the others", () => {
    const load = (): number => 170;
    const staying = new ReplayFleet({ ...usual, load }).run();
    const leaving = new ReplayFleet({
        ...usual,
        load,
        resolvePatienceMs: random => random.next() < 0.5 ? objectiveMs / 2 : patienceMs,
    }).run();
    const stayed = leaving.callers.filter(caller => caller.patienceMs === patienceMs);
    const inTime = stayed.filter(({ arrivedAtMs, answeredAtMs }) =>
        answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= objectiveMs
    );
    const share = inTime.length / stayed.length;
    assert.ok(share > staying.shareInTime(0, 19_000) + 0.03, `${share} against ${staying.shareInTime(0, 19_000)}`);
});

/** @returns the most questions to any one server in any ten seconds, over a fleet whose load jumps and which is restarted */
function findMostQuestions(perSecond: number): number {
    const windowMs = 10_000;
    const marks: { readonly atMs: number; readonly counts: readonly number[]; }[] = [];
    new ReplayFleet({
        ...usual,
        seed: 9,
        load: nowMs => nowMs >= 3_000 ? perSecond : 70,
        impatientShare: 0.4,
        onStep: (fleet, nowMs) => {
            if (nowMs === 6_000 || nowMs === 9_000) {
                fleet.restart(0.5, 700);
            }
            if (nowMs % 500 === 0) {
                marks.push({ atMs: nowMs, counts: fleet.servers.map(({ probes }) => probes) });
            }
        },
    }).run();
    let most = 0;
    for (const { atMs, counts } of marks) {
        const end = marks.find(mark => mark.atMs === atMs + windowMs);
        for (const [i, count] of counts.entries()) {
            most = Math.max(most, (end?.counts[i] ?? 0) - count);
        }
    }
    return most;
}

// Three times the load, callers who repeat at once, and half of the gateways restarted twice. When arrivals and last looks
// might always ask two servers, questions grew with the load, and the servers were asked more than they allow.
test("a burst with restarts: no server is asked more than it allows in any ten seconds", () => {
    const most = findMostQuestions(240);
    assert.ok(most > 100 && most <= 600, `${most} questions in ten seconds`);
});

// A fourth of the requests is urgent, and the servers bear half of what comes. Turned away alike, half of the urgent ones
// would get nothing although their work alone fits.
test("load above what the servers bear: urgent requests are served before others", () => {
    const resolveRank: ReplayInput["resolvePriority"] = random => random.next() < 0.25 ? 0 : 2;
    const servedShare = (fleet: ReplayFleet, rank: number): number => {
        const came = fleet.callers.filter(caller => caller.kind.priority === rank && caller.arrivedAtMs > 4_000);
        const inTime = came.filter(({ arrivedAtMs, answeredAtMs }) =>
            answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= objectiveMs
        );
        return inTime.length / came.length;
    };
    for (const seed of [5, 6, 7]) {
        const fleet = new ReplayFleet({ ...usual, seed, load: () => 160, resolvePriority: resolveRank }).run();
        const urgent = servedShare(fleet, 0);
        const other = servedShare(fleet, 2);
        assert.ok(urgent > other + 0.15, `seed ${seed}: ${urgent} of the urgent ones, ${other} of the others`);
    }
});
