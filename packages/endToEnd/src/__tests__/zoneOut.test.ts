import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { checkResponseIntegrity, checkZoneOut, type HistoryLine } from "@galenaglade/history";
import { FleetRun } from "../index.js";

/** For requests on the wire when the change was accepted. The brief allows a few seconds. */
const graceMs = 1_000;
/** Longer than a gateway may serve without word from the store or a majority, and than its lease. */
const longPauseMs = 12_000;
/** Enough that some of them would go into the zone that is out. */
const patientCallers = 12;

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

// Operators take a zone out while one gateway can't reach the store but serves callers. That gateway learns of the
// change from its peers or from the offer, or refuses; in no case does it send work into the zone. When the zone comes
// back it serves again.
test("a zone that is taken out receives nothing from a gateway that is cut from the store", async () => {
    await run.setPlatformFaults({ cuts: [{ client: "gateway-2", direction: "toStore" }] });
    const reading = run.sendReads(6_000, 60);
    await sleep(1_000);
    await run.takeZoneOut("north");
    const outAt = run.history().length;
    const tally = await reading;
    await run.bringZoneIn("north");
    await run.setPlatformFaults({});
    await run.sendReads(1_500, 60);

    const history = run.history();
    assert.deepEqual(checkZoneOut(history, graceMs), []);
    assert.deepEqual(checkResponseIntegrity(history), []);
    assert.ok(countStarts(history.slice(0, outAt), "north") > 0, "the zone served before it was out");
    assert.ok(countStarts(history.slice(outAt), "north") > 0, "the zone serves again");
    const counts = tally.getCounts("tables/default");
    assert.equal(counts.whole, counts.sent, "every caller got its whole answer throughout");
});

// A gateway's process is stopped for longer than its lease, with requests waiting on its open connections; meanwhile
// operators take a zone out. When it goes on, those requests come first: before any timer, before the peers' word.
// Nothing tells it that time has passed but its own clock, which it reads in the turn in which it sends; so it refuses.
test("a gateway that was stopped past its lease sends nothing into a zone taken out meanwhile", async () => {
    const paused = run.gateway(0);
    const others = [run.gateway(1), run.gateway(2)];
    await run.sendReads(500, 60);
    const readPatiently = await run.openIdleConnections(paused, patientCallers);
    paused.process.pause();
    const atDoor = readPatiently();
    const reading = run.sendReads(longPauseMs, 30, others);
    await sleep(1_000);
    await run.takeZoneOut("south");
    await reading;
    paused.process.resume();
    const statuses = await atDoor;
    await run.fleet.waitUntilReady();
    await run.sendReads(1_000, 60);

    const history = run.history();
    assert.deepEqual(checkZoneOut(history, graceMs), []);
    assert.deepEqual(checkResponseIntegrity(history), []);
    assert.ok(statuses.every(status => status === 200 || status === 503), statuses.join());
    await run.bringZoneIn("south");
});

// The store goes down for everybody, for longer than a configuration counts as fresh on the store's word alone. The
// gateways go on by each other's word, and no caller notices.
test("service goes on through an outage of the store", async () => {
    await run.setPlatformFaults({ down: "refusing" });
    await sleep(7_000);
    const tally = await run.sendReads(3_000, 60);
    await run.setPlatformFaults({});
    const counts = tally.getCounts("tables/default");
    assert.equal(counts.whole, counts.sent);
    assert.deepEqual(checkResponseIntegrity(run.history()), []);
});
