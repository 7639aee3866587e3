import assert from "node:assert/strict";
import { test } from "node:test";
import { createRandomSource } from "@galenaglade/routing";
import fc from "fast-check";
import { type RegisteredServer } from "@galenaglade/fleet-state";
import {
    ColdServerAdmission,
    defaultPlacementPolicy,
    ProbeBudget,
    ProbeGroups,
    type ProbePurpose,
    type ProbeShare,
    RepeatBudget,
} from "../index.js";

/** @returns the maximum number of times within any window of that length */
function maxWithin(timesMs: readonly number[], windowMs: number): number {
    const sorted = [...timesMs].sort((a, b) => a - b);
    let largest = 0;
    let first = 0;
    for (let i = 0; i < sorted.length; i++) {
        while ((sorted[i] ?? 0) - (sorted[first] ?? 0) >= windowMs) {
            first++;
        }
        largest = Math.max(largest, i - first + 1);
    }
    return largest;
}

// Guards against retry storms that keep a failing service down: 15 gateways with uneven traffic repeat whenever they
// may, and are restarted at random times, which makes them forget their earlier repeats.
test("the repeats of a whole fleet stay within the allowance in any ten seconds, restarts included", () => {
    const allowance = { ratio: 0.2, slack: 58, windowMs: 10_000 };
    fc.assert(
        fc.property(fc.integer(), seed => {
            const random = createRandomSource(seed);
            const names = Array.from({ length: 15 }, (_, i) => `gateway-${i}`);
            const budgets = names.map(name => new RepeatBudget(allowance, name, -10_000));
            const requests: number[] = [];
            const repeats: number[] = [];
            for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
                const i = Math.floor(random.next() ** 2 * names.length);
                if (random.nextInt(400) === 0) {
                    budgets[i] = new RepeatBudget(allowance, names[i] ?? "", nowMs);
                }
                const budget = budgets[i];
                budget?.onRequest("tables");
                requests.push(nowMs);
                while (budget?.take("tables", "retry", names, nowMs) === true) {
                    repeats.push(nowMs);
                }
            }
            const limit = allowance.ratio * maxWithin(requests, allowance.windowMs) + allowance.slack;
            assert.ok(
                maxWithin(repeats, allowance.windowMs) <= limit,
                `${maxWithin(repeats, allowance.windowMs)} above ${limit}`,
            );
            assert.ok(repeats.length > 100, "the allowance is used");
        }),
        { numRuns: 40 },
    );
});

test("hedges leave a share of the allowance to retries", () => {
    const budget = new RepeatBudget({ ratio: 0.2, slack: 50, windowMs: 10_000 }, "north-1", 0);
    const takeAll = (purpose: "retry" | "hedge"): number => {
        let taken = 0;
        while (budget.take("tables", purpose, ["north-1", "north-2"], 0)) {
            taken++;
        }
        return taken;
    };
    for (let i = 0; i < 200; i++) {
        budget.onRequest("tables");
    }
    const hedges = takeAll("hedge");
    const retries = takeAll("retry");
    assert.equal(hedges, 12);
    assert.equal(retries, 9);
    assert.equal(takeAll("hedge"), 0);
});

// Guards against overload of a server that has become cold and looks idle, so that every gateway wants to send to it at
// once. Up to three gateways are gone, which half of the others don't know yet, so that the two rosters yield different
// owners.
test("all gateways together stay within the limit of a cold server while rosters differ", () => {
    const coldLimit = { perSecond: 4.2, overshoot: 1.5, slack: 5 };
    const names = Array.from({ length: 15 }, (_, i) => `gateway-${i}`);
    fc.assert(
        fc.property(
            fc.string({ minLength: 1 }),
            fc.shuffledSubarray(names, { minLength: 12 }),
            (serverId, otherRoster) => {
                const admissions = names.map(name => ({ name, admission: new ColdServerAdmission(name) }));
                const sent: number[] = [];
                for (let nowMs = 0; nowMs < 6_000; nowMs += 5) {
                    for (const [i, { admission }] of admissions.entries()) {
                        const gateways = i % 2 === 0 ? names : otherRoster;
                        const input = {
                            serverId,
                            requestsPerSecond: coldLimit.perSecond,
                            gateways,
                            sinceStoreContactMs: 0,
                            nowMs,
                        };
                        if (admission.maySend(input)) {
                            admission.onSend(input);
                            sent.push(nowMs);
                        }
                    }
                }
                assert.ok(sent.length > 0, "the cold server gets requests");
                assert.ok(
                    maxWithin(sent, 1_000) <= coldLimit.perSecond * coldLimit.overshoot + coldLimit.slack,
                    `${maxWithin(sent, 1_000)} requests in one second`,
                );
            },
        ),
        { numRuns: 60 },
    );
});

test("a gateway without recent contact to the store sends nothing to cold servers", () => {
    const admission = new ColdServerAdmission("a");
    const input = { serverId: "s", requestsPerSecond: 4, gateways: ["a"], nowMs: 0 };
    assert.ok(admission.maySend({ ...input, sinceStoreContactMs: 100 }));
    assert.equal(admission.maySend({ ...input, sinceStoreContactMs: 60_000 }), false);
});

// Guards against waiting requests of all gateways that probe again without a pause. Without a limit this led to 100
// probes per second at each server.
test("the waiting requests of a fleet probe each server no more than its allowance", () => {
    const gateways = 13;
    const servers = 9;
    const perSecond = 60;
    const names = Array.from({ length: gateways }, (_, i) => `gateway-${i}`);
    const fleet = names.map(name => {
        const groups = new ProbeGroups(name, "north", perSecond, defaultPlacementPolicy);
        groups.update({ gateways: names, zoneGateways: names });
        return { groups, budget: new ProbeBudget(0) };
    });
    const ordered = Array.from({ length: servers }, (_, i) => createServer(`server-${i}`));
    const probes = new Map<string, number>();
    const seconds = 32;
    for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 10) {
        for (const { groups, budget } of fleet) {
            const shareOf = (server: RegisteredServer): ProbeShare => groups.shareOf(server, servers);
            for (const { id } of budget.take({ ordered, purpose: "waiting", maxProbes: 4, shareOf, nowMs })) {
                probes.set(id, (probes.get(id) ?? 0) + 1);
            }
        }
    }
    for (const { id } of ordered) {
        const probesPerSecond = (probes.get(id) ?? 0) / seconds;
        assert.ok(
            probesPerSecond > 0 && probesPerSecond <= perSecond,
            `${id} got ${probesPerSecond} probes per second`,
        );
    }
});

test("waiting requests leave half of the probes to newly arrived ones, which get none beyond the allowance", () => {
    const groups = new ProbeGroups("gateway-0", "north", 10, defaultPlacementPolicy);
    groups.update({ gateways: ["gateway-0"], zoneGateways: ["gateway-0"] });
    const budget = new ProbeBudget(-60_000);
    const ordered = Array.from({ length: 4 }, (_, i) => createServer(`server-${i}`));
    const take = (purpose: ProbePurpose): number =>
        budget.take({ ordered, purpose, maxProbes: 4, shareOf: server => groups.shareOf(server, 4), nowMs: 0 }).length;
    while (take("waiting") > 0) {
        // Uses up the share of waiting requests.
    }
    assert.equal(take("arrival"), 4);
    while (take("arrival") > 0) {
        // Uses up the remaining probes.
    }
    assert.equal(take("waiting"), 0);
});

function createServer(id: string): RegisteredServer {
    return {
        id,
        service: "tables",
        address: { host: "127.0.0.1", port: 1 },
        availabilityZone: "north",
        slots: 3,
        state: "ready",
        coldRemainingMs: 0,
        startedAtEpochMs: undefined,
    };
}
