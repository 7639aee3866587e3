import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { SerialExecutor } from "../serialExecutor.js";

// Orders to the store that were under way at once overtook each other beside load: an older configuration took the place of a newer
// one, and a fault that had ended lasted until the run's end.
test("what is given later starts after what was given before has ended, also where that failed", async () => {
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
