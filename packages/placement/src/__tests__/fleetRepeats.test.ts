import assert from "node:assert/strict";
import { test } from "node:test";
import { createCalmCourse, drawCourse, findHighestUse, simulateRepeats } from "./support/simulatedRepeats.js";

/** Number of random courses for each size of the fleet; by hand thousands. */
const courses = Number(process.env["REPEAT_COURSES"] ?? 40);
const firstSeed = Number(process.env["REPEAT_SEED"] ?? 1);

// Guards against a budget that is whole again after a restart, or that moves between gateways with their callers.
for (const gateways of [13, 131, 312]) {
    test(`${gateways} gateways stay within the retry budget whatever restarts, moves or delays their repeats`, () => {
        for (let seed = firstSeed; seed < firstSeed + courses; seed++) {
            const course = drawCourse(gateways, seed);
            const { fromMs, repeats, allowed } = findHighestUse(simulateRepeats(course), course.allowance);
            assert.ok(repeats <= allowed, `seed ${seed}: ${repeats} repeats from ${fromMs} ms, ${allowed} allowed`);
        }
    });
}

// Guards against a budget that keeps its promise by refusing repeats that the allowance covers.
for (const gateways of [13, 131, 312]) {
    test(`${gateways} gateways send nine tenths of the allowed ratio of repeats through a long failure`, () => {
        const windowMs = 10_000;
        const allowance = { ratio: 0.2, slack: gateways * 1.4, windowMs };
        const failures = [{ fromMs: 5_000, untilMs: 36_000 }];
        const course = { ...createCalmCourse(gateways), allowance, failures };
        const { requestsAtMs, repeatsAtMs } = simulateRepeats(course);
        const countWithin = (timesMs: readonly number[]): number =>
            timesMs.filter(atMs => atMs >= 15_000 && atMs < 35_000).length;
        const repeats = countWithin(repeatsAtMs);
        const allowed = countWithin(requestsAtMs) * allowance.ratio;
        assert.ok(repeats >= 0.9 * allowed, `${repeats} repeats where the ratio allows ${allowed}`);
    });
}

test("some gateways can repeat a request where the fixed allowance is below one for each of them", () => {
    const allowance = { ratio: 0.2, slack: 100, windowMs: 10_000 };
    const course = { ...createCalmCourse(312), allowance, failures: [{ fromMs: 10_000, untilMs: 36_000 }] };
    const observed = simulateRepeats(course);
    const { repeats, allowed } = findHighestUse(observed, allowance);
    assert.ok(repeats <= allowed, `${repeats} repeats, ${allowed} allowed`);
    assert.ok(observed.repeatsAtMs.length > 50);
});
