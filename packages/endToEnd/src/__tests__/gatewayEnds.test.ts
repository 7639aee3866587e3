import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { checkAtMostOnce, checkDidRunAccuracy, checkResponseIntegrity } from "@galenaglade/history";
import { FleetRun } from "../index.js";

let run: FleetRun;
let killedName = "";

before(async () => {
    run = await FleetRun.start(3);
});

after(async () => {
    // The killed gateway ended by its signal; whoever was not killed ends with code 0.
    assert.deepEqual(await run.stop(), [`${killedName} (SIGKILL)`]);
});

// A gateway ends as planned while callers read through it. Each request that it took gets its whole answer; whoever
// comes later is turned away before anything ran. Nobody's connection breaks in the middle of an answer.
test("a planned stop cuts no request in flight", async () => {
    const stopping = run.gateway(2);
    const slow = Array.from({ length: 12 }, (_, i) => run.fileReturn(stopping, `stop-${i}`, 700));
    await sleep(300);
    const exit = await stopping.process.stop();
    const told = await Promise.all(slow);
    assert.equal(exit.code, 0);
    assert.deepEqual(told.map(answer => answer?.status), told.map(() => 200));
    assert.deepEqual(checkResponseIntegrity(run.history()), []);
});

// Payroll offices file returns through a gateway that is killed with all of them in flight. Each office's connection
// breaks, so it files again through another gateway under the same key, and again. The claim of the dead gateway stays:
// the second gateway can't know whether the return ran, says so, and runs nothing a second time.
test("a return filed again after its gateway was killed runs at most once", async () => {
    const killed = run.gateway(0);
    const other = run.gateway(1);
    const keys = Array.from({ length: 12 }, (_, i) => `return-${i}`);
    const first = keys.map(key => run.fileReturn(killed, key, 600));
    await sleep(300);
    killed.process.kill();
    killedName = killed.name;
    const firstTold = await Promise.all(first);
    const again = await Promise.all(keys.map(key => run.fileReturn(other, key, 5)));
    await run.fileReturn(other, "fresh", 5);

    const history = run.history();
    assert.deepEqual(checkAtMostOnce(history), []);
    assert.deepEqual(checkDidRunAccuracy(history), []);
    assert.ok(firstTold.some(answer => answer === undefined), "the kill cut callers off");
    const ran = history.filter(line => line.type === "serverStarted" && line.idempotencyKey?.startsWith("return-"));
    assert.ok(ran.length > 0, "returns were running when the gateway was killed");
    for (const [i, answer] of again.entries()) {
        assert.ok(answer !== undefined, `${keys[i] ?? ""} got an answer the second time`);
    }
});
