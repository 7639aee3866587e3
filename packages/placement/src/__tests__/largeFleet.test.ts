import { resolveScenario, runReplay, type Scenario } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

const allowedProbes = 600;
/** Limit of a cold server in one second: 2.4 requests per second, with 50 percent overshoot and a slack of ten. */
const coldLimit = 2.4 * 1.5 + 10;

function readScenario(name: string, durationMs: number): Scenario {
    const path = new URL(`../../../replay/scenarios/${name}.yaml`, import.meta.url);
    return { ...resolveScenario(readFileSync(path, "utf8")).unsafeCoerce(), durationMs };
}

// Guards against gateways that use up their probe shares of their usual servers, and then probe others over new
// connections.
test("312 gateways at normal load: few new connections, and under a third of the late requests without probes", () => {
    const scenario = readScenario("fleet-calm", 20_000);
    const probing = runReplay(scenario);
    const baseline = runReplay({ ...scenario, randomPlacement: true });
    assert.ok(probing.connectionsPerCaller < 1, `${probing.connectionsPerCaller} connections per request`);
    assert.ok(
        1 - probing.inTime < (1 - baseline.inTime) / 3,
        `${probing.inTime} in time, ${baseline.inTime} with random placement`,
    );
    assert.ok(probing.mostProbes <= allowedProbes, `${probing.mostProbes} probes in ten seconds`);
});

// Guards against overload of cold servers: after a release of a third of the servers under a burst, they look idle to
// every gateway.
test("312 gateways and a release: cold servers stay within their limit, and fewer requests are late", () => {
    const scenario = readScenario("fleet-release", 10_000);
    const probing = runReplay(scenario);
    const baseline = runReplay({ ...scenario, randomPlacement: true });
    assert.ok(probing.mostColdArrivals <= coldLimit, `${probing.mostColdArrivals} requests in one second`);
    assert.ok(
        probing.worstWindows > baseline.worstWindows + 0.15,
        `${probing.worstWindows} in time, ${baseline.worstWindows} with random placement`,
    );
    assert.ok(probing.mostProbes <= allowedProbes, `${probing.mostProbes} probes in ten seconds`);
});

// Guards against rosters that differ: a gateway that doesn't know some of the others takes too large a share of the
// probes.
test("312 gateways whose rosters lack up to a tenth: no server gets more probes than its allowance", () => {
    const report = runReplay({ ...readScenario("fleet-release", 8_000), unknownGateways: 0.1 });
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
    assert.ok(report.mostColdArrivals <= coldLimit, `${report.mostColdArrivals} requests in one second`);
});

// Guards against rejections of callers that moved to another zone, because the gateways there may not probe the idle
// servers of the callers' former zone.
test("312 gateways and callers that move to another zone: 90 percent are served in time in the worst seconds", () => {
    const report = runReplay(readScenario("fleet-shift", 12_000));
    assert.ok(report.worstWindows > 0.9, `${report.worstWindows} in time`);
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
});

// Guards against gateways of a zone that was taken out: after a restart they know no server's load and may probe hardly
// any server, so they reject callers for seconds while servers of other zones have spare capacity.
test("129 gateways that restart while a zone is out reject few callers", () => {
    const report = runReplay(readScenario("fleet-power-cut-zone-out", 12_000));
    assert.ok(report.refused < 0.1, `${report.refused} rejected`);
    assert.ok(report.mostProbes <= allowedProbes, `${report.mostProbes} probes in ten seconds`);
});
