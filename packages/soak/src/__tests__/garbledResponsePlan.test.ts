import assert from "node:assert/strict";
import { test } from "node:test";
import { faultPhaseMs } from "../constants.js";
import { planGarbledResponses } from "../garbledResponsePlan.js";
import { garbledFramings, garbledWays, isTellable } from "../garbledResponses.js";

const seeds = Array.from({ length: 40 }, (_, i) => i + 1);

test("the garbled responses of many seeds come in all ways and framings, and the same seed draws the same ones", () => {
    const kinds = seeds.flatMap(seed => planGarbledResponses(seed).garblings).map(({ garbling }) =>
        `${garbling.way} ${garbling.framing}`
    );
    const possible = garbledWays.flatMap(way =>
        garbledFramings.filter(framing => isTellable({ way, framing })).map(framing => `${way} ${framing}`)
    );
    assert.deepEqual([...new Set(kinds)].sort(), possible.sort());
    assert.deepEqual(planGarbledResponses(3), planGarbledResponses(3));
});

test("garbled responses and the faults beside them end within the fault phase", () => {
    for (const { garblings, faults } of seeds.map(planGarbledResponses)) {
        for (const { atMs, durationMs } of [...garblings, ...faults]) {
            assert.ok(durationMs >= 0 && atMs + durationMs <= faultPhaseMs + 1, `${atMs} + ${durationMs}`);
        }
    }
});

test("callers pipeline or upload, and ask for short responses and for ones beyond what gateways buffer", () => {
    const callers = seeds.flatMap(seed => planGarbledResponses(seed).callers);
    assert.ok(callers.some(({ depth, uploads }) => depth > 1 && !uploads));
    assert.ok(callers.some(({ uploads }) => uploads));
    assert.ok(callers.some(({ responseBytes }) => responseBytes < 10_000));
    assert.ok(callers.some(({ responseBytes }) => responseBytes > 262_144));
});
