import { type ReplayReport, resolveScenario, runReplay } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";

function play(seed: number, heeded: boolean): ReplayReport {
    const path = new URL("../../../replay/scenarios/small-rest.yaml", import.meta.url);
    const scenario = resolveScenario(readFileSync(path, "utf8")).unsafeCoerce();
    const events = scenario.events.map(event => event.type === "restServers" ? { ...event, heeded } : event);
    return runReplay({ ...scenario, events, seed });
}

// Guards against servers that turn everything away and, running nothing, draw the requests that the others have room for.
test("a third of the servers rests at a usual load: the others serve nearly everything, and far more than when rests are ignored", () => {
    for (const seed of [1, 2, 3]) {
        const heeded = play(seed, true);
        const ignored = play(seed, false);
        assert.ok(heeded.inTime > 0.9, `${heeded.inTime} in time`);
        assert.ok(heeded.refused < 0.03, `${heeded.refused} refused`);
        assert.ok(heeded.inTime > ignored.inTime + 0.05, `${heeded.inTime}, ignored ${ignored.inTime}`);
    }
});
