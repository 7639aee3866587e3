import assert from "node:assert/strict";
import { test } from "node:test";
import { planRollout } from "../rolloutPlan.js";

// The first random numbers of adjacent seeds are similar: without decorrelation, fifty such seeds would draw no
// rollout at all.
test("about half of adjacent seeds have a rollout, both good and bad ones of each service", () => {
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
