import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashSimulation, type CrashSimulationResult, type ServerFaults } from "./support/crashSimulation.js";

const seeds = Array.from({ length: 10 }, (_, i) => i + 1);
const fleetSizes = [13, 131];
/** Maximum share of harmless requests that may be rejected by the quarantine. */
const maxRejectedShare = 0.001;
/**
 * The same while several crashing requests per second keep crashing servers, and other servers fail for other reasons.
 */
const maxRejectedShareWithManyCrashes = 0.01;

function runSimulations(faults: ServerFaults, deadlyPerSecond: number): readonly CrashSimulationResult[] {
    return fleetSizes.flatMap(gateways =>
        seeds.map(seed => new CrashSimulation({ seed, gateways, faults, crashingPerSecond: deadlyPerSecond }).run())
    );
}

// Guards against popular reads that are quarantined because they ran on many servers that failed for another reason.
for (const faults of ["zoneEnds", "release", "crashes"] as const) {
    test(`hardly any request is quarantined when servers fail for other reasons: ${faults}`, () => {
        const results = runSimulations(faults, 0);
        const rejected = results.reduce((sum, { wronglyRejected }) => sum + wronglyRejected, 0);
        const harmless = results.reduce((sum, result) => sum + result.harmless, 0);
        assert.ok(rejected / harmless <= maxRejectedShare, `${rejected} of ${harmless} harmless requests rejected`);
        assert.ok(results.every(({ leftQuarantined }) => leftQuarantined === 0));
    });
}

for (const deadlyPerSecond of [0.3, 2, 10]) {
    test(`at ${deadlyPerSecond} crashing requests/s, at most three reach servers once they are reported`, () => {
        for (const faults of ["none", "release", "crashes"] as const) {
            const results = runSimulations(faults, deadlyPerSecond);
            assert.deepEqual(results.filter(({ lateArrivals }) => lateArrivals > 3), []);
            const rejected = results.reduce((sum, { wronglyRejected }) => sum + wronglyRejected, 0);
            const harmless = results.reduce((sum, result) => sum + result.harmless, 0);
            const maxShare = deadlyPerSecond > 5 ? maxRejectedShareWithManyCrashes : maxRejectedShare;
            assert.ok(
                rejected / harmless <= maxShare,
                `${faults}: ${rejected} of ${harmless} harmless requests rejected`,
            );
        }
    });
}
