import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planFaults } from "../faultPlan.js";

test("the same seed draws the same faults, another seed draws others", () => {
    assert.deepEqual(planFaults(7), planFaults(7));
    assert.notDeepEqual(planFaults(7), planFaults(8));
});

test("no fault of any seed reaches into the recovery phase", () => {
    for (let seed = 0; seed < 500; seed++) {
        for (const { atMs, durationMs } of planFaults(seed)) {
            assert.ok(atMs >= 0 && atMs <= faultPhaseMs);
            assert.ok(atMs + durationMs <= faultPhaseMs, `seed ${seed}: ${atMs} + ${durationMs}`);
        }
    }
});

test("all kinds of fault are drawn, and faults of the same kind overlap", () => {
    const kinds = new Set<string>();
    let overlapping = 0;
    for (let seed = 0; seed < 200; seed++) {
        const faults = planFaults(seed);
        for (const [i, { kind, atMs }] of faults.entries()) {
            kinds.add(kind);
            const before = faults[i - 1];
            overlapping += before !== undefined && before.kind === kind && before.atMs + before.durationMs > atMs
                ? 1
                : 0;
        }
    }
    assert.equal(kinds.size, 25);
    assert.ok(overlapping > 50, `only ${overlapping} overlap`);
});
