/** Simulates many rollouts of good and bad versions under each kind of fault, and prints a table of the results. */
import { renderRolloutTable } from "@galenaglade/replay";
import { parseArgs } from "node:util";

const { values } = parseArgs({ options: { seeds: { type: "string", default: "24" } } });
const seeds = Number(values.seeds);
if (!Number.isInteger(seeds) || seeds < 1) {
    process.stderr.write(`--seeds: expected a positive integer, got ${values.seeds}\n`);
    process.exit(2);
}
const scenario = {
    gateways: 40,
    requestsPerSecond: 200,
    badShare: 0.45,
    baselineBadShare: 0.01,
    allowedMs: 16_000,
};
process.stdout.write(`${renderRolloutTable({ seeds, scenario })}\n`);
