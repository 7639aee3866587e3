/** Regenerates the tables of docs/CAPACITY.md from docs/capacity/results.json. */
import { readFileSync, writeFileSync } from "node:fs";
import { type CapacityResults } from "./capacity/measurement.js";
import { renderCapacityPage } from "./capacity/render.js";

const pagePath = "docs/CAPACITY.md";
const results = JSON.parse(readFileSync("docs/capacity/results.json", "utf8")) as CapacityResults;
writeFileSync(pagePath, renderCapacityPage(readFileSync(pagePath, "utf8"), results));
