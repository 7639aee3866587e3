import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planServerLimit } from "../serverLimitPlan.js";

test("of neighbouring seeds some have a server that names a limit, for a time that ends with the faults", () => {
    const plans = Array.from({ length: 100 }, (_, seed) => planServerLimit(seed + 1)).filter(plan =>
        plan !== undefined
    );
    assert.ok(plans.length > 25 && plans.length < 60, `${plans.length} of 100`);
    assert.ok(plans.every(({ atMs, durationMs, perSecond }) => atMs + durationMs <= faultPhaseMs && perSecond > 0));
    assert.deepEqual(planServerLimit(3), planServerLimit(3));
});
