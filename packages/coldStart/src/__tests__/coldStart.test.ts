import assert from "node:assert/strict";
import { test } from "node:test";
import { checkColdStart } from "@galenaglade/history";
import fc from "fast-check";
import { contactLimitMs } from "../index.js";
import { type FleetPlan, SimulatedFleet } from "./simulatedFleet.js";

const slots = 3;
const longestDeliveryMs = 25;

const planOf = (seed: number, more: Partial<FleetPlan>): FleetPlan => ({
    seed,
    gateways: 5,
    servers: 4,
    runMs: 40_000,
    arrivalMs: 40,
    idleMs: 6_000,
    loss: 0.01,
    coldEveryMs: 4_000,
    pauseEveryMs: 5_000,
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
        contactLimitMs: contactLimitMs + longestDeliveryMs,
        inFlightInWindow: plan.gateways * slots,
    });
    assert.deepEqual(violations.slice(0, 3), [], JSON.stringify(plan));
}

const plans = fc.record({
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
    outages: fc.constantFrom([], [{ fromMs: 8_000, toMs: 28_000 }], [
        { fromMs: 5_000, toMs: 16_000 },
        { fromMs: 17_000, toMs: 30_000 },
    ]),
    idleMs: fc.constantFrom(1_000, 6_000),
    patienceMs: fc.constantFrom(600, 4_000, 15_000),
    arrivalMs: fc.constantFrom(40, 400),
    slow: fc.boolean(),
});

test("a cold server is never given more than it bears, whatever is lost, late, stopped or down", () => {
    fc.assert(fc.property(plans, faults => check(planOf(faults.seed, faults))), { numRuns: 300 });
});
