import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SerialExecutor } from "../serialExecutor.js";

// Concurrent commands to the store overtook each other under load: an older configuration replaced a newer one, and a
// fault that had ended lasted until the end of the run.
test("a task starts only after the previous one has settled, also if that one failed", async () => {
    const executor = new SerialExecutor();
    const seen: string[] = [];
    const work = async (name: string, durationMs: number): Promise<string> => {
        await sleep(durationMs);
        seen.push(name);
        return name;
    };
    const first = executor.run(() => work("slow", 30));
    const failed = executor.run(() => work("failing", 10).then(() => Promise.reject(new Error("lost"))));
    const last = executor.run(() => work("quick", 0));
    await assert.rejects(failed, /lost/);
    assert.deepEqual([await first, await last], ["slow", "quick"]);
    assert.deepEqual(seen, ["slow", "failing", "quick"]);
});
