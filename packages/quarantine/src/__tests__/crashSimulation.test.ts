import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashSimulation, type CrashSimulationResult, type ServerTrouble } from "./support/crashSimulation.js";

const seeds = Array.from({ length: 10 }, (_, i) => i + 1);
const fleets = [13, 131];
/** Share of the requests that end no server which may be kept from servers all the same. */
const mostWronglyRefused = 0.001;
/** The same while several deadly requests a second end servers all the time, and others end by themselves. */
const mostRefusedBesideMany = 0.01;

function play(trouble: ServerTrouble, deadlyPerSecond: number): readonly CrashSimulationResult[] {
    return fleets.flatMap(gateways =>
        seeds.map(seed => new CrashSimulation({ seed, gateways, trouble, deadlyPerSecond }).run())
    );
}

// What ends many servers, each with popular reads on board, must not be taken for the reads' fault.
for (const trouble of ["zoneEnds", "release", "crashes"] as const) {
    test(`hardly any request is refused for servers that end by themselves: ${trouble}`, () => {
        const results = play(trouble, 0);
        const refused = results.reduce((sum, { wronglyRefused }) => sum + wronglyRefused, 0);
        const innocent = results.reduce((sum, each) => sum + each.harmless, 0);
        assert.ok(refused / innocent <= mostWronglyRefused, `${refused} of ${innocent}`);
        assert.ok(results.every(({ leftQuarantined }) => leftQuarantined === 0));
    });
}

for (const deadlyPerSecond of [0.3, 2, 10]) {
    test(`of ${deadlyPerSecond} deadly requests a second at most three reach servers once all gateways must know`, () => {
        for (const trouble of ["none", "release", "crashes"] as const) {
            const results = play(trouble, deadlyPerSecond);
            assert.deepEqual(results.filter(({ lateArrivals }) => lateArrivals > 3), []);
            const refused = results.reduce((sum, { wronglyRefused }) => sum + wronglyRefused, 0);
            const innocent = results.reduce((sum, each) => sum + each.harmless, 0);
            const most = deadlyPerSecond > 5 ? mostRefusedBesideMany : mostWronglyRefused;
            assert.ok(refused / innocent <= most, `${trouble}: ${refused} of ${innocent}`);
        }
    });
}
