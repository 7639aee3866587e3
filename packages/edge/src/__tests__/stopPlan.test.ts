import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { StopPlan } from "../stopping/stopPlan.js";

const startedAtMs = 1_000;
const graceMs = fc.integer({ min: 200, max: 60_000 });

// Breaking a request off before the last sixth of the grace period, or ending after it, loses requests.
test("for any grace period, requests are broken off in its last sixth only, and the process ends within it", () => {
    fc.assert(fc.property(graceMs, ms => {
        const plan = new StopPlan(startedAtMs, ms);
        assert.ok(plan.answerByMs - startedAtMs >= ms * 5 / 6);
        assert.ok(plan.endByMs > plan.answerByMs);
        assert.ok(plan.endByMs - startedAtMs < ms);
        assert.ok(plan.listenUntilMs <= plan.admitUntilMs);
        assert.ok(plan.admitUntilMs < plan.answerByMs);
    }));
});

// Only requests sent within three seconds of the signal may still be at work in the last sixth.
test("a request that arrives more than three seconds after the signal is never passed on", () => {
    fc.assert(fc.property(graceMs, fc.integer({ min: 3_001, max: 60_000 }), (ms, elapsedMs) => {
        assert.equal(new StopPlan(startedAtMs, ms).isAdmitted(startedAtMs + elapsedMs), false);
    }));
});

test("after admission has ended, nothing is sent that its server is expected to finish too late", () => {
    fc.assert(fc.property(graceMs, fc.nat(60_000), fc.nat(5_000), (ms, elapsedMs, expectedMs) => {
        const plan = new StopPlan(startedAtMs, ms);
        const nowMs = startedAtMs + elapsedMs;
        const isInTime = nowMs + expectedMs <= plan.answerByMs;
        assert.equal(plan.maySend(nowMs, expectedMs), isInTime || nowMs <= plan.admitUntilMs);
    }));
});

test("the schedule for grace periods of 1, 2, 6 and 30 s", () => {
    const schedule = [1_000, 2_000, 6_000, 30_000].map(ms => {
        const { listenUntilMs, admitUntilMs, answerByMs, endByMs } = new StopPlan(0, ms);
        return [listenUntilMs, admitUntilMs, answerByMs, endByMs].map(Math.round);
    });
    assert.deepEqual(schedule, [
        [500, 600, 875, 925],
        [1_000, 1_200, 1_750, 1_850],
        [2_300, 3_000, 5_300, 5_580],
        [2_300, 3_000, 29_300, 29_580],
    ]);
});
