import assert from "node:assert/strict";
import { test } from "node:test";
import { faultyMs } from "../constants.js";
import { planNotices } from "../noticePlan.js";

test("about two fifths of the runs have a server that asks for rest, and three tenths one that leaves, within the time of faults", () => {
    const plans = Array.from({ length: 200 }, (_, seed) => planNotices(seed + 1));
    const rests = plans.flatMap(({ rest }) => rest ?? []);
    const leavings = plans.flatMap(({ leaving }) => leaving ?? []);
    assert.ok(rests.length > 55 && rests.length < 105, `${rests.length} of 200`);
    assert.ok(leavings.length > 35 && leavings.length < 85, `${leavings.length} of 200`);
    for (const { atMs, forMs, restSeconds } of rests) {
        assert.ok(atMs >= 0 && forMs > 0 && atMs + forMs <= faultyMs);
        assert.ok(restSeconds >= 0.8 && restSeconds <= 3.2);
    }
    assert.deepEqual(planNotices(3), planNotices(3));
});
