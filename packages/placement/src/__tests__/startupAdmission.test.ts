import { resolveScenario, runReplay } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { admitDuringStartup, type StartupAdmissionInput } from "../index.js";

const usual: StartupAdmissionInput = { readFailed: false, held: 0, sinceStartMs: 100, patienceMs: 4_000 };
const powerCut = new URL("../../../replay/scenarios/fleet-power-cut.yaml", import.meta.url);

test("a request is held for the reading that is under way, for a part of its caller's patience at most", () => {
    assert.deepEqual(admitDuringStartup(usual), { type: "hold", forMs: 900 });
    assert.deepEqual(admitDuringStartup({ ...usual, patienceMs: 1_000 }), { type: "hold", forMs: 250 });
    assert.deepEqual(admitDuringStartup({ ...usual, patienceMs: undefined }), { type: "hold", forMs: 900 });
});

test("it is refused at once where the reading failed, takes too long, or too many are held", () => {
    for (const change of [{ readFailed: true }, { sinceStartMs: 1_000 }, { held: 200 }]) {
        assert.deepEqual(admitDuringStartup({ ...usual, ...change }), { type: "refuse" });
    }
});

// Guards against a fleet that comes back from a power cut and refuses callers, who find every other host unread as well.
test("every gateway restarted at once: callers who come before the first reading are served, not refused", () => {
    const scenario = resolveScenario(readFileSync(powerCut, "utf8")).unsafeCoerce();
    for (const seed of [1, 2, 3]) {
        const holding = runReplay({ ...scenario, seed });
        const refusing = runReplay({ ...scenario, seed, holdsAtStart: false });
        assert.ok(refusing.refused > 0.02, `${refusing.refused} refused without`);
        assert.ok(holding.refused < refusing.refused / 4, `${holding.refused} refused`);
        assert.ok(holding.worstWindows > refusing.worstWindows + 0.02, `${holding.worstWindows} in time`);
    }
});
