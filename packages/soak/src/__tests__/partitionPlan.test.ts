import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planPartitions } from "../partitionPlan.js";

// Guards against plans without partitions, and against partitions that reach into the recovery phase.
test("many seeds draw partitions, with each link fault and some flapping, within the fault phase", () => {
    const plans = Array.from({ length: 200 }, (_, seed) => planPartitions(seed));
    const partitions = plans.flat();
    assert.deepEqual(plans, Array.from({ length: 200 }, (_, seed) => planPartitions(seed)));
    assert.ok(plans.filter(plan => plan.length > 0).length > 60, "many seeds have partitions");
    assert.ok(
        partitions.every(({ atMs, durationMs }) => durationMs > 0 && atMs + durationMs <= faultPhaseMs),
        "all end in time",
    );
    assert.deepEqual(new Set(partitions.map(({ linkFault }) => linkFault)).size, 3);
    assert.ok(partitions.some(({ flapPeriodMs }) => flapPeriodMs !== undefined), "some flap");
});
