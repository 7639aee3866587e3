import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { IsolatedSlots } from "../isolatedSlots.js";

// Guards against exceeding a limit when all hosts are isolated from each other while callers reach all of them.
test("isolated hosts that use every available slot keep the limit together, including right after the start", () => {
    const sizes = {
        hosts: fc.integer({ min: 1, max: 312 }),
        perSecond: fc.integer({ min: 1, max: 800 }),
        step: fc.nat(1e9),
    };
    fc.assert(
        fc.property(fc.record(sizes), ({ hosts, perSecond, step }) => {
            const names = Array.from({ length: hosts }, (_, i) => `host-${i}`);
            const rule = { workspace: "w", perSecond: perSecond / 2, burst: 0, configVersion: 1 };
            let admitted = 0;
            for (const name of names) {
                const slots = new IsolatedSlots(name);
                slots.onRoster(names, 0);
                for (let nowMs = 0; nowMs <= 5_000; nowMs += 500) {
                    // The wall clock is stepped midway, which must not repeat a slot.
                    const wallMs = 1e12 + nowMs + (nowMs > 2_000 ? step : 0);
                    while (slots.tryTake(rule, 0, nowMs, wallMs)) {
                        admitted++;
                    }
                }
            }
            assert.ok(admitted <= 5 * rule.perSecond + 1, `${admitted} admitted`);
        }),
        { numRuns: 60 },
    );
});

test("an unregistered host admits nothing, and unused slots are retained up to the burst", () => {
    const slots = new IsolatedSlots("a");
    const rule = { workspace: "w", perSecond: 100, burst: 20, configVersion: 1 };
    assert.equal(slots.tryTake(rule, -1e6, 0, 1e9), false);
    slots.onRoster(["a"], -1e6);
    let admitted = 0;
    while (slots.tryTake(rule, -1e6, 0, 1e9)) {
        admitted++;
    }
    assert.ok(admitted === 20 || admitted === 21, `${admitted} at once`);
});
