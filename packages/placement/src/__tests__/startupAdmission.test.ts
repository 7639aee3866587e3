import { resolveScenario, runReplay } from "@galenaglade/replay";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { admitDuringStartup, type StartupAdmissionInput } from "../index.js";

const base: StartupAdmissionInput = { readFailed: false, held: 0, sinceStartMs: 100, patienceMs: 4_000 };
const powerCut = new URL("../../../replay/scenarios/fleet-power-cut.yaml", import.meta.url);

test("a request is held during the first read of the store, for a share of its caller's timeout at most", () => {
    assert.deepEqual(admitDuringStartup(base), { type: "hold", forMs: 900 });
    assert.deepEqual(admitDuringStartup({ ...base, patienceMs: 1_000 }), { type: "hold", forMs: 250 });
    assert.deepEqual(admitDuringStartup({ ...base, patienceMs: undefined }), { type: "hold", forMs: 900 });
});

test("a request is rejected at once if the first read failed or takes too long, or too many are held", () => {
    for (const change of [{ readFailed: true }, { sinceStartMs: 1_000 }, { held: 200 }]) {
        assert.deepEqual(admitDuringStartup({ ...base, ...change }), { type: "refuse" });
    }
});

// Guards against a fleet that rejects callers after a power failure, although no other host has read the store yet
// either.
test("when all gateways restart at once, callers that arrive before the first read are served", () => {
    const scenario = resolveScenario(readFileSync(powerCut, "utf8")).unsafeCoerce();
    for (const seed of [1, 2, 3]) {
        const holding = runReplay({ ...scenario, seed });
        const refusing = runReplay({ ...scenario, seed, holdsAtStart: false });
        assert.ok(refusing.refused > 0.02, `${refusing.refused} rejected without holding`);
        assert.ok(holding.refused < refusing.refused / 4, `${holding.refused} rejected with holding`);
        assert.ok(holding.worstWindows > refusing.worstWindows + 0.02, `${holding.worstWindows} in time`);
    }
});
