import assert from "node:assert/strict";
import { test } from "node:test";
import { contactLimitMs, type StoreCommand, type StoreOutcome } from "@galenaglade/cold-start";
import { createRandomSource, type ServerId } from "@galenaglade/routing";
import { ProbeScheduler } from "../index.js";

const server: ServerId = "service/a";

function createScheduler(): ProbeScheduler {
    const scheduler = new ProbeScheduler("g1/1", createRandomSource(7));
    scheduler.onServices([{ service: "service", seats: 2, probesPerSecond: 2, serverIds: [server] }], 0);
    return scheduler;
}

const lease: StoreOutcome = { type: "lease", leaseId: "l1", ttlMs: 6_000 };

/** Answers a call at once. */
function reply(
    scheduler: ProbeScheduler,
    command: StoreCommand | undefined,
    outcome: StoreOutcome,
    nowMs: number,
): void {
    assert.ok(command);
    scheduler.onStoreReply({ command, askedAtMs: nowMs, outcome }, nowMs);
}

/** A scheduler that has held a seat since 100 ms and may probe from 2600 ms on. */
function createHolder(): ProbeScheduler {
    const scheduler = createScheduler();
    reply(scheduler, scheduler.tick(0)[0], lease, 0);
    reply(
        scheduler,
        scheduler.tick(100).find(command => command.type === "swap"),
        { type: "swapped", revision: 1 },
        100,
    );
    scheduler.onContact(50, 100);
    return scheduler;
}

/** Renews the lease and the contact up to a time. */
function keepUp(scheduler: ProbeScheduler, untilMs: number): void {
    for (let atMs = 200; atMs <= untilMs; atMs += 100) {
        scheduler.onContact(atMs, atMs);
        for (const command of scheduler.tick(atMs)) {
            reply(scheduler, command, lease, atMs);
        }
    }
}

// The operators lower the budget, and a gateway that no heartbeat reaches goes on probing by the old one. It holds its
// seat rightly, since the store still answers it; only the missing contact tells it that its budget may be old.
test("a gateway out of touch with its peers probes nothing, though its seat stands", () => {
    const scheduler = createHolder();
    keepUp(scheduler, 3_000);
    assert.equal(scheduler.takeProbe(3_000), server);
    assert.equal(scheduler.takeProbe(3_000 + contactLimitMs), undefined);
    scheduler.onContact(3_000 + contactLimitMs, 3_000 + contactLimitMs);
    assert.equal(scheduler.takeProbe(3_000 + contactLimitMs), server);
});

// No gateway probes, and all loads grow stale. The store granted a seat and its answer was lost; the gateway asks again,
// is told that the seat is taken, and would wait for ever for a holder that is itself.
test("a seat whose grant was lost on the way is known again by its lease", () => {
    const scheduler = createScheduler();
    reply(scheduler, scheduler.tick(0)[0], lease, 0);
    const claim = scheduler.tick(100).find(command => command.type === "swap");
    reply(scheduler, claim, { type: "failed" }, 1_100);
    const again = scheduler.tick(4_200).find(command => command.type === "swap");
    const current = { value: "", modifiedRevision: 1, leaseId: "l1" };
    reply(scheduler, again, { type: "notSwapped", current }, 4_200);
    assert.equal(again?.type === "swap" && claim?.type === "swap" && again.key === claim.key, true);
    scheduler.onContact(4_300, 4_300);
    for (let atMs = 4_400; atMs <= 7_000; atMs += 100) {
        scheduler.onContact(atMs, atMs);
        for (const command of scheduler.tick(atMs)) {
            assert.notEqual(command.type, "swap");
            reply(scheduler, command, lease, atMs);
        }
    }
    assert.equal(scheduler.takeProbe(7_000), server);
});

test("a server whose load was heard of lately isn't probed", () => {
    const scheduler = createHolder();
    keepUp(scheduler, 3_000);
    scheduler.onHeard(server, 2_900);
    assert.equal(scheduler.takeProbe(3_000), undefined);
    assert.equal(scheduler.takeProbe(3_400), server);
});

// A holder takes a probe and stands still while its connection opens. Meanwhile its lease lapses, or its next probe
// comes due: the one that waited would reach the server beside another's, or right before its own next one.
test("a probe that waited for its connection leaves only while its seat stands, and is counted when it leaves", () => {
    const scheduler = createHolder();
    keepUp(scheduler, 3_000);
    assert.equal(scheduler.takeProbe(3_000), server);
    assert.equal(scheduler.mayStillSend(server, 3_000, 3_000 + contactLimitMs), false);
    scheduler.onContact(9_000, 9_000);
    assert.equal(scheduler.mayStillSend(server, 3_000, 9_000), false, "the lease has lapsed");
    assert.equal(scheduler.mayStillSend(server, 3_000, 3_400), true);
    keepUp(scheduler, 4_400);
    assert.equal(scheduler.takeProbe(4_399), undefined);
    assert.equal(scheduler.takeProbe(4_400), server);
    assert.equal(scheduler.mayStillSend(server, 3_400, 4_401), false, "the next one is on its way");
});
