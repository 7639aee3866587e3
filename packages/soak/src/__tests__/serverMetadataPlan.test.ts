import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planServerMetadata } from "../serverMetadataPlan.js";

test("two fifths of the seeds have a back-off within the fault phase, three tenths a leaving server", () => {
    const plans = Array.from({ length: 200 }, (_, seed) => planServerMetadata(seed + 1));
    const rests = plans.flatMap(({ backoff }) => backoff ?? []);
    const leavings = plans.flatMap(({ leaving }) => leaving ?? []);
    assert.ok(rests.length > 55 && rests.length < 105, `${rests.length} of 200`);
    assert.ok(leavings.length > 35 && leavings.length < 85, `${leavings.length} of 200`);
    for (const { atMs, durationMs, backoffSeconds } of rests) {
        assert.ok(atMs >= 0 && durationMs > 0 && atMs + durationMs <= faultPhaseMs);
        assert.ok(backoffSeconds >= 0.8 && backoffSeconds <= 3.2);
    }
    assert.deepEqual(planServerMetadata(3), planServerMetadata(3));
});
