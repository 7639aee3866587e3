import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultTolerance, resolveAdmittedRate } from "../admittedRate.js";

const limit = (perSecond: number): Parameters<typeof resolveAdmittedRate>[0] => ({
    workspace: "w",
    perSecond,
    burst: perSecond,
    configVersion: 1,
});

// Guards against refusing callers near a small limit although the tolerance would allow their requests.
test("the remaining tolerance raises the admitted rate, and a small tolerance lowers it", () => {
    for (const perSecond of [0.5, 5, 200]) {
        const rate = resolveAdmittedRate(limit(perSecond), defaultTolerance);
        assert.ok(rate > perSecond && 5 * rate + perSecond < 1.1 * 6 * perSecond + 20, `${rate}`);
    }
    assert.ok(resolveAdmittedRate(limit(50), { overshoot: 0, slack: 5 }) < 50);
    assert.equal(resolveAdmittedRate(limit(1), { overshoot: 0, slack: 0 }), 0.5);
});
