/** Measures the slopes from which docs/CAPACITY.md is calculated, and writes them to docs/capacity/results.json. */
import { writeFileSync } from "node:fs";
import { type CapacityResults } from "./capacity/measurement.js";
import { measureFleet } from "./capacity/measureFleet.js";
import { measureRequests } from "./capacity/measureRequests.js";
import { measureTables } from "./capacity/measureTables.js";

const results: CapacityResults = {
    day: new Date().toISOString().slice(0, 10),
    node: process.version,
    measurements: [...measureTables(), ...await measureRequests(), ...await measureFleet()],
};
writeFileSync("docs/capacity/results.json", `${JSON.stringify(results, undefined, 4)}\n`);
for (const { name, per, unit, slope } of results.measurements) {
    const { minimum, median, maximum } = slope.perUnit;
    console.log(`${name}: ${median} ${unit} per ${per} (${minimum} to ${maximum}), fixed ${slope.fixed}`);
}
process.exit(0);
