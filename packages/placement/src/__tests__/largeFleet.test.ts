import { resolveScenario, runReplay, type Scenario } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

const allowedProbes = 600;
/** A cold server bears 2.4 requests a second, and half as much again and ten for a moment. */
const coldLimit = 2.4 * 1.5 + 10;

function readScenario(name: string, durationMs: number): Scenario {
    const path = new URL(`../../../replay/scenarios/${name}.yaml`, import.meta.url);
    return { ...resolveScenario(readFileSync(path, "utf8")).unsafeCoerce(), durationMs };
}

// Guards against gateways that use up their part of the probes on the servers they know, and go on to others over new connections.
test("312 gateways on a calm day: fewer new connections than requests, and few of those late that are when sending anywhere", () => {
    const scenario = readScenario("fleet-calm", 20_000);
    const deciding = runReplay(scenario);
    const blind = runReplay({ ...scenario, blind: true });
    assert.ok(deciding.connectionsPerCaller < 1, `${deciding.connectionsPerCaller} connections a request`);
    assert.ok(1 - deciding.inTime < (1 - blind.inTime) / 3, `${deciding.inTime} in time against ${blind.inTime}`);
    assert.ok(deciding.mostProbes <= allowedProbes, `${deciding.mostProbes} probes in ten seconds`);
});

// Guards against a release of a third of the servers under a burst, in which every gateway finds the cold servers idle.
test("312 gateways before servers that are replaced by cold ones: none gets more than it bears, and few requests are late", () => {
    const scenario = readScenario("fleet-release", 10_000);
    const deciding = runReplay(scenario);
    const blind = runReplay({ ...scenario, blind: true });
    assert.ok(deciding.mostColdArrivals <= coldLimit, `${deciding.mostColdArrivals} requests in one second`);
    assert.ok(
        deciding.worstWindows > blind.worstWindows + 0.15,
        `${deciding.worstWindows} against ${blind.worstWindows}`,
    );
    assert.ok(deciding.mostProbes <= allowedProbes, `${deciding.mostProbes} probes in ten seconds`);
});

// Guards against rosters that differ: gateways that don't know of a part of the others take too large a part of the probes.
test("312 gateways that each lack up to a tenth of the roster: no server is probed more than it allows", () => {
    const report = runReplay({ ...readScenario("fleet-release", 8_000), unknownGateways: 0.1 });
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
    assert.ok(report.mostColdArrivals <= coldLimit, `${report.mostColdArrivals} requests in one second`);
});

// Guards against a zone that refuses the callers who moved there, because its gateways may not probe the servers that stand idle in
// the zone that they left.
test("312 gateways and callers who move to another zone: nine in ten are answered in time in the worst seconds", () => {
    const report = runReplay(readScenario("fleet-shift", 12_000));
    assert.ok(report.worstWindows > 0.9, `${report.worstWindows} in time`);
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
});

// Guards against gateways of a zone that was taken out: after a restart they know nothing and may probe next to nobody, and refuse
// their callers for seconds while servers of other zones have room.
test("129 gateways that restart while a zone is out refuse few callers", () => {
    const report = runReplay(readScenario("fleet-power-cut-zone-out", 12_000));
    assert.ok(report.refused < 0.1, `${report.refused} refused`);
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
});
