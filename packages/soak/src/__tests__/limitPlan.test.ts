import assert from "node:assert/strict";
import { test } from "node:test";
import { faultyMs } from "../constants.js";
import { planLimit } from "../limitPlan.js";

test("of neighbouring seeds some have a server that names a limit, for a time that ends with the faults", () => {
    const plans = Array.from({ length: 100 }, (_, seed) => planLimit(seed + 1)).filter(plan => plan !== undefined);
    assert.ok(plans.length > 25 && plans.length < 60, `${plans.length} of 100`);
    assert.ok(plans.every(({ atMs, forMs, perSecond }) => atMs + forMs <= faultyMs && perSecond > 0));
    assert.deepEqual(planLimit(3), planLimit(3));
});
