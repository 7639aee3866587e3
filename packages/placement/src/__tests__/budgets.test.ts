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

/** @returns the largest number of times within any window of that length */
function most(timesMs: readonly number[], windowMs: number): number {
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

// Every request of a service fails at first, at 15 gateways with uneven traffic, and any of them is killed and starts
// again at any time, forgetting what it repeated. Repeats of the whole fleet within any ten seconds must stay below the
// allowance, or the service gets each request several times over and stays down.
test("repeats of a whole fleet stay within the allowance, restarts included", () => {
    const allowance = { ratio: 0.2, slack: 58, windowMs: 10_000 };
    fc.assert(
        fc.property(fc.integer(), seed => {
            const random = createRandomSource(seed);
            const gateways = 15;
            const budgets = Array.from({ length: gateways }, () => new RepeatBudget(allowance, -10_000));
            const requests: number[] = [];
            const repeats: number[] = [];
            for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
                const i = Math.floor(random.next() ** 2 * gateways);
                if (random.below(400) === 0) {
                    budgets[i] = new RepeatBudget(allowance, nowMs);
                }
                const budget = budgets[i];
                budget?.onRequest("tables", nowMs);
                requests.push(nowMs);
                while (budget?.take("tables", "retry", gateways, nowMs) === true) {
                    repeats.push(nowMs);
                }
            }
            const limit = allowance.ratio * most(requests, allowance.windowMs) + allowance.slack;
            assert.ok(
                most(repeats, allowance.windowMs) <= limit,
                `${most(repeats, allowance.windowMs)} above ${limit}`,
            );
            assert.ok(repeats.length > 100, "and they are used");
        }),
        { numRuns: 40 },
    );
});

test("hedges leave a part of the allowance to retries", () => {
    const budget = new RepeatBudget({ ratio: 0, slack: 50, windowMs: 10_000 }, -10_000);
    let hedges = 0;
    while (budget.take("tables", "hedge", 2, 0)) {
        hedges++;
    }
    assert.equal(hedges, 12);
    assert.ok(budget.take("tables", "retry", 2, 0));
});

// A server turns cold and looks idle, so every gateway of the fleet wants to send to it in the same moment. Half of the
// gateways have not heard yet that three others are gone, so that two rosters name different owners.
test("a cold server gets less than it bears from all gateways together, while rosters differ", () => {
    const bears = { perSecond: 4.2, overshoot: 1.5, slack: 5 };
    const names = Array.from({ length: 15 }, (_, i) => `gateway-${i}`);
    fc.assert(
        fc.property(fc.string({ minLength: 1 }), fc.shuffledSubarray(names, { minLength: 12 }), (serverId, some) => {
            const admissions = names.map(name => ({ name, admission: new ColdServerAdmission(name) }));
            const sent: number[] = [];
            for (let nowMs = 0; nowMs < 6_000; nowMs += 5) {
                for (const [i, { admission }] of admissions.entries()) {
                    const gateways = i % 2 === 0 ? names : some;
                    const input = {
                        serverId,
                        requestsPerSecond: bears.perSecond,
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
            assert.ok(sent.length > 0, "and it gets something");
            assert.ok(
                most(sent, 1_000) <= bears.perSecond * bears.overshoot + bears.slack,
                `${most(sent, 1_000)} a second`,
            );
        }),
        { numRuns: 60 },
    );
});

test("a gateway that lost touch with the store sends nothing to cold servers", () => {
    const admission = new ColdServerAdmission("a");
    const input = { serverId: "s", requestsPerSecond: 4, gateways: ["a"], nowMs: 0 };
    assert.ok(admission.maySend({ ...input, sinceStoreContactMs: 100 }));
    assert.equal(admission.maySend({ ...input, sinceStoreContactMs: 60_000 }), false);
});

// All requests of all gateways wait and ask again without a pause. Before there was a limit, servers were asked 100
// times a second each.
test("a fleet of waiting requests asks each server no more than it may", () => {
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
    const asks = new Map<string, number>();
    const seconds = 32;
    for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += 10) {
        for (const { groups, budget } of fleet) {
            const shareOf = (server: RegisteredServer): ProbeShare => groups.shareOf(server, servers);
            for (const { id } of budget.take({ ordered, purpose: "waiting", maxProbes: 4, shareOf, nowMs })) {
                asks.set(id, (asks.get(id) ?? 0) + 1);
            }
        }
    }
    for (const { id } of ordered) {
        const asked = (asks.get(id) ?? 0) / seconds;
        assert.ok(asked > 0 && asked <= perSecond, `${id} was asked ${asked} times a second`);
    }
});

test("waiting requests leave half of the questions to those that arrive, and these get none beyond them", () => {
    const groups = new ProbeGroups("gateway-0", "north", 10, defaultPlacementPolicy);
    groups.update({ gateways: ["gateway-0"], zoneGateways: ["gateway-0"] });
    const budget = new ProbeBudget(-60_000);
    const ordered = Array.from({ length: 4 }, (_, i) => createServer(`server-${i}`));
    const take = (purpose: ProbePurpose): number =>
        budget.take({ ordered, purpose, maxProbes: 4, shareOf: server => groups.shareOf(server, 4), nowMs: 0 }).length;
    while (take("waiting") > 0) {
        // Until no more are left to them.
    }
    assert.equal(take("arrival"), 4);
    while (take("arrival") > 0) {
        // Until the savings are used up.
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
