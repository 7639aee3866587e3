import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planServerLimit } from "../serverLimitPlan.js";

test("some of many adjacent seeds have a server with a rate limit that ends within the fault phase", () => {
    const plans = Array.from({ length: 100 }, (_, seed) => planServerLimit(seed + 1)).filter(plan =>
        plan !== undefined
    );
    assert.ok(plans.length > 25 && plans.length < 60, `${plans.length} of 100`);
    assert.ok(plans.every(({ atMs, durationMs, perSecond }) => atMs + durationMs <= faultPhaseMs && perSecond > 0));
    assert.deepEqual(planServerLimit(3), planServerLimit(3));
});
