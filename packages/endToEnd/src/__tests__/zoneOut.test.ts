import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { checkResponseIntegrity, checkZoneOut, type HistoryLine } from "@galenaglade/history";
import { FleetRun } from "../index.js";

/** Allowance for requests in transit when the change was accepted, in milliseconds; a few seconds are acceptable. */
const graceMs = 1_000;
/** Longer than a gateway may serve without contact to the store or a majority, and longer than its lease. */
const longPauseMs = 12_000;
/** Enough requests that some of them would be routed to the zone that is out. */
const idleConnectionCount = 12;

let run: FleetRun;

before(async () => {
    run = await FleetRun.start(3);
});

after(async () => {
    assert.deepEqual(await run.stop(), []);
});

function countStarts(history: readonly HistoryLine[], availabilityZone: string): number {
    return history.filter(line => line.type === "serverStarted" && line.availabilityZone === availabilityZone).length;
}

// Guards against a gateway that uses an outdated configuration. A zone is taken out of service while one gateway can't
// reach the store but serves callers. The gateway must get the change from its peers or from the coordinator's offer,
// or reject requests; it must not send any to the zone. Once returned to service, the zone receives requests again.
test("a zone taken out of service gets no requests from a gateway that can't reach the store", async () => {
    await run.setPlatformFaults({ cuts: [{ client: "gateway-2", direction: "toStore" }] });
    const reading = run.sendReads(6_000, 60);
    await sleep(1_000);
    await run.takeZoneOut("north");
    const eventsBeforeZoneOut = run.history().length;
    const tally = await reading;
    await run.bringZoneIn("north");
    await run.setPlatformFaults({});
    await run.sendReads(1_500, 60);

    const history = run.history();
    assert.deepEqual(checkZoneOut(history, graceMs), []);
    assert.deepEqual(checkResponseIntegrity(history), []);
    assert.ok(
        countStarts(history.slice(0, eventsBeforeZoneOut), "north") > 0,
        "the zone receives requests before it is taken out",
    );
    assert.ok(
        countStarts(history.slice(eventsBeforeZoneOut), "north") > 0,
        "the zone receives requests after its return",
    );
    const counts = tally.getCounts("tables/default");
    assert.equal(counts.whole, counts.sent, "every caller gets a complete response throughout");
});

// Guards against a resumed gateway that acts on its state from before the pause. Its process is suspended for longer
// than its lease, with requests waiting on open connections, and a zone is taken out meanwhile. On resume, it handles
// those requests before any timer or peer message. It must reject them based on its clock alone, which it therefore
// reads in the same event loop turn in which it sends.
test("a gateway suspended for longer than its lease sends nothing to a zone taken out meanwhile", async () => {
    const paused = run.gateway(0);
    const others = [run.gateway(1), run.gateway(2)];
    await run.sendReads(500, 60);
    const readOnAll = await run.openIdleConnections(paused, idleConnectionCount);
    paused.process.pause();
    const pendingReads = readOnAll();
    const reading = run.sendReads(longPauseMs, 30, others);
    await sleep(1_000);
    await run.takeZoneOut("south");
    await reading;
    paused.process.resume();
    const statuses = await pendingReads;
    await run.fleet.waitUntilReady();
    await run.sendReads(1_000, 60);

    const history = run.history();
    assert.deepEqual(checkZoneOut(history, graceMs), []);
    assert.deepEqual(checkResponseIntegrity(history), []);
    assert.ok(statuses.every(status => status === 200 || status === 503), statuses.join());
    await run.bringZoneIn("south");
});

// Guards against a store outage that affects callers. The outage lasts longer than a configuration is considered fresh
// without the store. The gateways confirm the configuration to each other, and every request succeeds.
test("gateways continue to serve during an outage of the store", async () => {
    await run.setPlatformFaults({ down: "refusing" });
    await sleep(7_000);
    const tally = await run.sendReads(3_000, 60);
    await run.setPlatformFaults({});
    const counts = tally.getCounts("tables/default");
    assert.equal(counts.whole, counts.sent);
    assert.deepEqual(checkResponseIntegrity(run.history()), []);
});
