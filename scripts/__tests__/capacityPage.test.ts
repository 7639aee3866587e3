import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { type CapacityResults } from "../capacity/measurement.js";
import { renderCapacityPage } from "../capacity/render.js";

test("the tables of the capacity page match the stored measurements", () => {
    const page = readFileSync("docs/CAPACITY.md", "utf8");
    const results = JSON.parse(readFileSync("docs/capacity/results.json", "utf8")) as CapacityResults;
    assert.equal(renderCapacityPage(page, results), page, "run `npx tsx scripts/renderCapacity.ts`");
});
