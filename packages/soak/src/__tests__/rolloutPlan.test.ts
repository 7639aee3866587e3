import assert from "node:assert/strict";
import { test } from "node:test";
import { planRollout } from "../rolloutPlan.js";

// Numbers drawn first from neighbouring seeds are alike: a soak of fifty such seeds would order no roll-out at all.
test("of neighbouring seeds about half order a roll-out, of either kind and of each service", () => {
    const plans = Array.from({ length: 100 }, (_, seed) => planRollout(seed + 1, ["tables", "returns"]));
    const ordered = plans.flatMap(plan => plan === undefined ? [] : [plan]);
    assert.ok(ordered.length > 30 && ordered.length < 70, `${ordered.length} of 100`);
    for (const isBad of [true, false]) {
        for (const service of ["tables", "returns"]) {
            assert.ok(ordered.some(plan => plan.isBad === isBad && plan.service === service), `${service} ${isBad}`);
        }
    }
    assert.deepEqual(planRollout(3, ["tables"]), planRollout(3, ["tables"]));
});
