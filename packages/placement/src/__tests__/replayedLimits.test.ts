import { type ReplayReport, resolveScenario, runReplay } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

const perSecond = 1.1;
const allowedInFourSeconds = perSecond * 4 * 1.5 + 5;

function replay(name: string, overrides: { readonly seed: number; readonly durationMs?: number; }): ReplayReport {
    const path = new URL(`../../../replay/scenarios/${name}.yaml`, import.meta.url);
    return runReplay({ ...resolveScenario(readFileSync(path, "utf8")).unsafeCoerce(), ...overrides });
}

// Guards against gateways that each use the whole limit, and against gateways that hardly use it at all.
test("15 gateways respect the limits of servers, use at least half of them, and few requests are late", () => {
    const limitedServers = 12;
    const limitedSeconds = 21;
    for (const seed of [1, 2, 3]) {
        const report = replay("small-limit", { seed });
        assert.ok(report.mostLimitedArrivals <= allowedInFourSeconds, `${report.mostLimitedArrivals} in four seconds`);
        const used = report.limitedArrivals / (perSecond * limitedServers * limitedSeconds);
        assert.ok(used > 0.5, `${used} of the limit used`);
        assert.ok(report.inTime > 0.9, `${report.inTime} in time`);
    }
});

test("312 gateways respect the limits of servers", () => {
    const report = replay("fleet-limit", { seed: 1, durationMs: 14_000 });
    assert.ok(report.mostLimitedArrivals <= allowedInFourSeconds, `${report.mostLimitedArrivals} in four seconds`);
    assert.ok(report.inTime > 0.9, `${report.inTime} in time`);
});
