import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SerialExecutor } from "../serialExecutor.js";

// Concurrent commands to the store overtook each other under load: an older configuration replaced a newer one, and a
// fault that had ended lasted until the end of the run.
test("a task starts only after the previous one has settled, also if that one failed", async () => {
    const inOrder = new SerialExecutor();
    const seen: string[] = [];
    const work = async (name: string, forMs: number): Promise<string> => {
        await sleep(forMs);
        seen.push(name);
        return name;
    };
    const first = inOrder.run(() => work("slow", 30));
    const failed = inOrder.run(() => work("failing", 10).then(() => Promise.reject(new Error("lost"))));
    const last = inOrder.run(() => work("quick", 0));
    await assert.rejects(failed, /lost/);
    assert.deepEqual([await first, await last], ["slow", "quick"]);
    assert.deepEqual(seen, ["slow", "failing", "quick"]);
});
