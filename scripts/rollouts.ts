/** Plays many roll-outs of sound and bad versions beside each kind of trouble, and prints the table. */
import { renderRolloutTable } from "@galenaglade/replay";
import { parseArgs } from "node:util";

const { values } = parseArgs({ options: { seeds: { type: "string", default: "24" } } });
const seeds = Number(values.seeds);
if (!Number.isInteger(seeds) || seeds < 1) {
    process.stderr.write(`--seeds: expected a whole number above 0, found ${values.seeds}\n`);
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
