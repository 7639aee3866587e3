import assert from "node:assert/strict";
import { test } from "node:test";
import { DrawnRun } from "./support/drawnRun.js";

const runs = Number(process.env["LIMIT_RUNS"] ?? 300);
const firstSeed = Number(process.env["LIMIT_SEED"] ?? 1);

// A workspace takes from backend servers what others paid for, while a fault makes two allocators count one host's share.
test("no five seconds admit more than the bound, whatever happens to hosts, links, clocks, rosters and limits", () => {
    let worst = { part: 0, seed: 0 };
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
        const run = new DrawnRun(seed);
        const part = run.play();
        worst = part > worst.part ? { part, seed } : worst;
        assert.ok(part <= 1, `seed ${seed}: ${part.toFixed(3)} of what a window may admit\n${run.log.join("\n")}`);
    }
    console.log(`${runs} runs, at most ${worst.part.toFixed(3)} of what a window may admit (seed ${worst.seed})`);
});
