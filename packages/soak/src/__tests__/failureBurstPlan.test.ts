import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs, repeatWindowMs } from "../constants.js";
import { planFailureBursts } from "../failureBurstPlan.js";

test("the same seed draws the same bursts, another seed draws others", () => {
    assert.deepEqual(planFailureBursts(7), planFailureBursts(7));
    assert.notDeepEqual(planFailureBursts(7), planFailureBursts(8));
});

test("gateways are killed between two bursts of failures within one window of the retry budget", () => {
    for (let seed = 0; seed < 500; seed++) {
        const faults = planFailureBursts(seed);
        const [first, second] = [...new Set(faults.filter(({ kind }) => kind === "burst").map(({ atMs }) => atMs))];
        assert.ok(first !== undefined && second !== undefined, `seed ${seed}`);
        assert.ok(second - first < repeatWindowMs, `seed ${seed}`);
        assert.ok(
            faults.some(({ kind, atMs }) => kind === "edgeKill" && atMs > first && atMs < second),
            `seed ${seed}`,
        );
        assert.ok(faults.every(({ atMs, durationMs }) => atMs + durationMs <= faultPhaseMs), `seed ${seed}`);
    }
});
