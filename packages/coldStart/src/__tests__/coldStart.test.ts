import assert from "node:assert/strict";
import { test } from "node:test";
import { checkColdStart, checkServerLeaving } from "@galenaglade/history";
import fc from "fast-check";
import { contactTimeoutMs } from "../index.js";
import { type FleetPlan, SimulatedFleet } from "./simulatedFleet.js";

const slots = 3;
const longestDeliveryMs = 25;

const planOf = (seed: number, more: Partial<FleetPlan>): FleetPlan => ({
    seed,
    gateways: 5,
    servers: 4,
    runMs: 50_000,
    arrivalMs: 40,
    idleMs: 6_000,
    loss: 0.01,
    coldEveryMs: 4_000,
    pauseEveryMs: 5_000,
    leaveEveryMs: 0,
    cutEveryMs: 0,
    replaceEveryMs: 0,
    coldBears: 2,
    answersUntilWarm: 4,
    longShare: 0.01,
    outages: [],
    dead: 0,
    patienceMs: 2_000,
    slow: true,
    ...more,
});

function run(plan: FleetPlan): SimulatedFleet {
    const fleet = new SimulatedFleet(plan);
    fleet.start();
    fleet.runUntil(plan.runMs);
    return fleet;
}

function check(plan: FleetPlan): void {
    const fleet = run(plan);
    const violations = checkColdStart(fleet.history, {
        contactLimitMs: contactTimeoutMs + longestDeliveryMs,
        inFlightInWindow: fleet.gatewayCount * slots,
    });
    assert.deepEqual(violations.slice(0, 3), [], JSON.stringify(plan));
}

type Faults = Partial<FleetPlan> & Pick<FleetPlan, "seed">;

const plans: fc.Arbitrary<Faults> = fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    gateways: fc.integer({ min: 3, max: 7 }),
    servers: fc.integer({ min: 1, max: 4 }),
    loss: fc.constantFrom(0, 0.01, 0.05),
    coldEveryMs: fc.constantFrom(2_000, 5_000),
    pauseEveryMs: fc.constantFrom(0, 3_000, 8_000),
    cutEveryMs: fc.constantFrom(0, 3_000),
    coldBears: fc.constantFrom(1, 2),
    answersUntilWarm: fc.constantFrom(4, 10_000),
    longShare: fc.constantFrom(0.01, 0.3, 0.9),
    replaceEveryMs: fc.constantFrom(0, 6_000, 12_000),
    dead: fc.constantFrom(0, 1),
    outages: fc.constantFrom([], [{ fromMs: 8_000, toMs: 28_000 }], [{ fromMs: 6_000, toMs: 60_000 }], [
        { fromMs: 5_000, toMs: 16_000 },
        { fromMs: 17_000, toMs: 30_000 },
    ]),
    idleMs: fc.constantFrom(1_000, 6_000),
    patienceMs: fc.constantFrom(600, 4_000, 15_000),
    arrivalMs: fc.constantFrom(40, 400),
    slow: fc.boolean(),
});

// An overloaded cold server fails requests and never becomes warm. Servers turn cold unannounced while gateways are
// paused, disconnected or replaced, or while the store is down. Each gateway keeps within the limits that it knows, but
// the sum of their requests exceeds what the server can handle.
test("a cold server is never overloaded, whatever is lost, delayed, paused or down", () => {
    // Within the window, a dead gateway has three requests at the server besides three of each live one: 19 of 18.
    const deadGatewayInWindow = {
        seed: 1384199573,
        gateways: 6,
        servers: 1,
        loss: 0,
        coldEveryMs: 5_000,
        pauseEveryMs: 0,
        cutEveryMs: 3_000,
        coldBears: 1,
        answersUntilWarm: 4,
        longShare: 0.3,
        replaceEveryMs: 12_000,
        dead: 0,
        outages: [],
        idleMs: 6_000,
        patienceMs: 15_000,
        arrivalMs: 40,
        slow: false,
    };
    fc.assert(
        fc.property(plans, faults => check(planOf(faults.seed, faults))),
        { numRuns: 250, examples: [[deadGatewayInWindow]] },
    );
});

// The store is down for a long time, no permit can be acquired, and the servers turn cold one by one until all requests
// are refused. Without a successor for a dead gateway, the servers that it owns would stay cold.
test("servers that turn cold during a long store outage are warmed up again, even those of a dead gateway", () => {
    const fromMs = 60_000;
    const toMs = fromMs + 20 * 60_000;
    const fleet = new SimulatedFleet(planOf(1, {
        gateways: 7,
        servers: 9,
        arrivalMs: 500,
        idleMs: 300_000,
        coldEveryMs: 30_000,
        pauseEveryMs: 60_000,
        outages: [{ fromMs, toMs }],
        dead: 1,
    }));
    fleet.start();
    let sum = 0;
    let samples = 0;
    for (let atMs = fromMs; atMs <= toMs; atMs += 1_000) {
        fleet.runUntil(atMs);
        sum += fleet.warmShare();
        samples++;
    }
    assert.ok(sum / samples > 0.7, `mean share of warm servers: ${sum / samples}`);
});

// New requests are sent to a server that is shutting down, and are aborted. One gateway has a response that reports it;
// the others have no response from the server yet, and the host list lags.
test("a leaving server gets no new requests after a few seconds", () => {
    const leavePlans: fc.Arbitrary<Faults> = fc.record({
        seed: fc.integer({ min: 1, max: 0x7fffffff }),
        loss: fc.constantFrom(0, 0.02),
        pauseEveryMs: fc.constantFrom(0, 4_000),
        cutEveryMs: fc.constantFrom(0, 4_000),
        arrivalMs: fc.constantFrom(40, 300),
    });
    // Only one gateway learned of it, while it was disconnected for longer than signals used to be repeated.
    const disconnectedWithReport = { seed: 2147483620, loss: 0, pauseEveryMs: 0, cutEveryMs: 4_000, arrivalMs: 300 };
    fc.assert(
        fc.property(leavePlans, faults => {
            const plan = planOf(faults.seed, { ...faults, leaveEveryMs: 8_000, coldEveryMs: 0, longShare: 0 });
            const fleet = run(plan);
            const violations = checkServerLeaving(fleet.history, contactTimeoutMs + longestDeliveryMs);
            assert.deepEqual(violations.slice(0, 3), [], JSON.stringify(plan));
        }),
        { numRuns: 60, examples: [[disconnectedWithReport]] },
    );
});
