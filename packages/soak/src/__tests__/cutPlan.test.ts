import assert from "node:assert/strict";
import { test } from "node:test";
import { faultyMs } from "../constants.js";
import { planCuts } from "../cutPlan.js";

// Guards against plans that never cut a gateway, or cut one beyond the time of faults, so that the calm after it isn't calm.
test("cuts are drawn for many seeds, in all manners, within the time of faults", () => {
    const plans = Array.from({ length: 200 }, (_, seed) => planCuts(seed));
    const cuts = plans.flat();
    assert.deepEqual(plans, Array.from({ length: 200 }, (_, seed) => planCuts(seed)));
    assert.ok(plans.filter(plan => plan.length > 0).length > 60, "many seeds have cuts");
    assert.ok(cuts.every(({ atMs, forMs }) => forMs > 0 && atMs + forMs <= faultyMs), "all end in time");
    assert.deepEqual(new Set(cuts.map(({ link }) => link)).size, 3);
    assert.ok(cuts.some(({ flapMs }) => flapMs !== undefined), "some flap");
});
