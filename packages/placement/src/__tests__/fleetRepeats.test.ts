import assert from "node:assert/strict";
import { test } from "node:test";
import { drawCourse, findHighestUse, simulateRepeats } from "./support/simulatedRepeats.js";

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
