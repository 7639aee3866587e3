import { type ReplayReport, resolveScenario, runReplay } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

function replay(seed: number, heeded: boolean): ReplayReport {
    const path = new URL("../../../replay/scenarios/small-rest.yaml", import.meta.url);
    const scenario = resolveScenario(readFileSync(path, "utf8")).unsafeCoerce();
    const events = scenario.events.map(event => event.type === "restServers" ? { ...event, heeded } : event);
    return runReplay({ ...scenario, events, seed });
}

// Guards against servers that reject all requests and, because they look idle, attract requests for which the others
// have spare capacity.
test("a third of the servers asks for a back-off at normal load: the others serve nearly everything", () => {
    for (const seed of [1, 2, 3]) {
        const heeded = replay(seed, true);
        const ignored = replay(seed, false);
        assert.ok(heeded.inTime > 0.9, `${heeded.inTime} in time`);
        assert.ok(heeded.refused < 0.03, `${heeded.refused} rejected`);
        assert.ok(
            heeded.inTime > ignored.inTime + 0.05,
            `${heeded.inTime} in time, ${ignored.inTime} if back-offs are ignored`,
        );
    }
});
