import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashSimulation, type CrashSimulationResult, type ServerTrouble } from "./support/crashSimulation.js";

const seeds = Array.from({ length: 10 }, (_, i) => i + 1);
const fleets = [13, 131];
/** Maximum share of harmless requests that may be rejected by the quarantine. */
const mostWronglyRefused = 0.001;
/**
 * The same while several crashing requests per second keep crashing servers, and other servers fail for other reasons.
 */
const mostRefusedBesideMany = 0.01;

function play(trouble: ServerTrouble, deadlyPerSecond: number): readonly CrashSimulationResult[] {
    return fleets.flatMap(gateways =>
        seeds.map(seed => new CrashSimulation({ seed, gateways, trouble, deadlyPerSecond }).run())
    );
}

// Guards against popular reads that are quarantined because they ran on many servers that failed for another reason.
for (const trouble of ["zoneEnds", "release", "crashes"] as const) {
    test(`hardly any request is quarantined when servers fail for other reasons: ${trouble}`, () => {
        const results = play(trouble, 0);
        const refused = results.reduce((sum, { wronglyRefused }) => sum + wronglyRefused, 0);
        const innocent = results.reduce((sum, each) => sum + each.harmless, 0);
        assert.ok(refused / innocent <= mostWronglyRefused, `${refused} of ${innocent} harmless requests rejected`);
        assert.ok(results.every(({ leftQuarantined }) => leftQuarantined === 0));
    });
}

for (const deadlyPerSecond of [0.3, 2, 10]) {
    test(`at ${deadlyPerSecond} crashing requests/s, at most three reach servers once they are reported`, () => {
        for (const trouble of ["none", "release", "crashes"] as const) {
            const results = play(trouble, deadlyPerSecond);
            assert.deepEqual(results.filter(({ lateArrivals }) => lateArrivals > 3), []);
            const refused = results.reduce((sum, { wronglyRefused }) => sum + wronglyRefused, 0);
            const innocent = results.reduce((sum, each) => sum + each.harmless, 0);
            const most = deadlyPerSecond > 5 ? mostRefusedBesideMany : mostWronglyRefused;
            assert.ok(refused / innocent <= most, `${trouble}: ${refused} of ${innocent} harmless requests rejected`);
        }
    });
}
