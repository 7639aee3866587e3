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
    // The killed gateway exited by its signal; all other processes exit with code 0.
    assert.deepEqual(await run.stop(), [`${killedName} (SIGKILL)`]);
});

// Guards against a graceful shutdown that breaks connections in the middle of a response. A gateway is stopped while it
// has requests in flight; each of them must get its complete response, and later requests are rejected before they run.
test("a planned stop cuts no request in flight", async () => {
    const stopping = run.gateway(2);
    const pending = Array.from({ length: 12 }, (_, i) => run.fileReturn(stopping, `stop-${i}`, 700));
    await sleep(300);
    const exit = await stopping.process.stop();
    const responses = await Promise.all(pending);
    assert.equal(exit.code, 0);
    assert.deepEqual(responses.map(answer => answer?.status), responses.map(() => 200));
    assert.deepEqual(checkResponseIntegrity(run.history()), []);
});

// Guards against a retry that runs a non-idempotent request twice. A gateway is killed with requests in flight, and the
// callers retry with the same idempotency keys at another gateway. The killed gateway's claims remain in the store: the
// other gateway can't know whether the requests ran, reports that, and runs none of them again.
test("a request retried at another gateway after its gateway was killed runs at most once", async () => {
    const killed = run.gateway(0);
    const other = run.gateway(1);
    const keys = Array.from({ length: 12 }, (_, i) => `return-${i}`);
    const first = keys.map(key => run.fileReturn(killed, key, 600));
    await sleep(300);
    killed.process.kill();
    killedName = killed.name;
    const firstResponses = await Promise.all(first);
    const retries = await Promise.all(keys.map(key => run.fileReturn(other, key, 5)));
    await run.fileReturn(other, "fresh", 5);

    const history = run.history();
    assert.deepEqual(checkAtMostOnce(history), []);
    assert.deepEqual(checkDidRunAccuracy(history), []);
    assert.ok(
        firstResponses.some(answer => answer === undefined),
        "callers lose their connections when the gateway is killed",
    );
    const ran = history.filter(line => line.type === "serverStarted" && line.idempotencyKey?.startsWith("return-"));
    assert.ok(ran.length > 0, "requests were running when the gateway was killed");
    for (const [i, answer] of retries.entries()) {
        assert.ok(answer !== undefined, `${keys[i] ?? ""} gets a response to the retry`);
    }
});
