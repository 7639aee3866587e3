import assert from "node:assert/strict";
import { test } from "node:test";
import { controlBurstBytes, controlBytesPerSecond, heartbeatBytes } from "../constants.js";
import {
    createMember,
    gateway,
    heartbeatAnswered,
    heartbeat,
    createRevision,
    roster,
    storeRead,
    timings,
} from "./fleetBuilders.js";

const three = roster(1, ["gw1", "gw2", "gw3"]);

// Guards against work that is sent to a zone after its evacuation is in force. The store's response is late: if the
// freshness counted from its arrival, the gateway would continue for longer than the admin process waits.
test("a late response of the store doesn't extend the freshness", () => {
    const member = createMember();
    storeRead(member, 0, 4_000, 1, three);
    assert.ok(member.mayTakeNewWork(timings.freshForMs));
    assert.ok(!member.mayTakeNewWork(timings.freshForMs + 1));
});

// The same for a late response of the peer that makes up the majority.
test("a late response of a peer doesn't extend the contact with a majority", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    heartbeatAnswered(member, 6_000, 9_000, heartbeat("gw2", 1));
    assert.ok(member.mayTakeNewWork(11_000));
    assert.ok(!member.mayTakeNewWork(11_001));
});

// Guards against a gateway that continues under the old configuration although a peer has reported a newer one. The
// response must not count before the gateway holds the newer one too; an earlier response remains valid for its time,
// so that work isn't interrupted while the change is fetched.
test("a peer that holds something newer doesn't count before this gateway holds it too", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    heartbeatAnswered(member, 4_000, 4_001, heartbeat("gw2", 1));
    const commands = heartbeatAnswered(member, 8_000, 8_001, heartbeat("gw2", 2));
    assert.deepEqual(commands, [{ type: "fetch", address: gateway("gw2").peerAddress }]);
    assert.ok(member.mayTakeNewWork(9_000), "by the response to the call at 4,000");
    assert.ok(!member.mayTakeNewWork(9_001), "the response to the call at 8,000 had a newer revision");
    const offer = { offered: createRevision(2), roster: three };
    member.handle({ type: "fetched", address: gateway("gw2").peerAddress, offer }, 9_100);
    assert.ok(member.mayTakeNewWork(9_100));
    assert.equal(member.configuration?.revision, 2);
});

// Guards against work that is sent to an evacuated zone, since a delayed response restores the old configuration.
test("a lower revision is never applied, neither from an offer nor from the store", () => {
    const member = createMember();
    storeRead(member, 0, 1, 3, three);
    assert.deepEqual(member.answerOffer({ offered: createRevision(2), roster: undefined }, 2).commands, []);
    assert.deepEqual(storeRead(member, 2, 3, 2, three), []);
    assert.equal(member.configuration?.revision, 3);
});

// Guards against gateways that take old state for confirmed after the store was restored from a backup.
test("a store that returns an older revision than the one held confirms nothing", () => {
    const member = createMember();
    storeRead(member, 0, 1, 3, three);
    storeRead(member, 4_000, 4_001, 2, three);
    assert.ok(!member.mayTakeNewWork(5_001));
});

// Guards against a gateway that sends work under the old configuration after a change is in force. It read the store
// before it registered, so the admin process that applied the change in between couldn't know of it.
test("a gateway outside the roster isn't confirmed by a read from before its registration", () => {
    const member = createMember("gw4");
    storeRead(member, 0, 1, 1, three);
    assert.ok(!member.mayTakeNewWork(2));
    member.handle({ type: "registered", startedAtMs: 5, ttlMs: timings.leaseTtlMs }, 10);
    assert.ok(!member.mayTakeNewWork(11));
    storeRead(member, 10, 12, 1, three);
    assert.ok(member.mayTakeNewWork(13));
    storeRead(member, 9_000, 9_001, 1, three);
    const lapsesAtMs = 5 + timings.leaseTtlMs - timings.marginMs;
    assert.ok(member.mayTakeNewWork(lapsesAtMs - 1));
    assert.ok(!member.mayTakeNewWork(lapsesAtMs), "other processes may not know of it any more");
});

// The same for a gateway that has just become a member: the store's confirmation is from before that.
test("a new member isn't confirmed by a read from before its membership", () => {
    const member = createMember("gw4");
    storeRead(member, 0, 1, 1, three);
    member.answerOffer({ offered: undefined, roster: roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2"]) }, 2);
    assert.ok(!member.mayTakeNewWork(3));
    storeRead(member, 4, 5, 1, roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2"]));
    assert.ok(member.mayTakeNewWork(6));
});

// Guards against gateways that reject all work once they lose the store, although a peer knows that nothing changed. A
// peer's confirmation has the age that the peer reported, counted from the start of the call, and may be passed on.
test("a gateway without the store adopts a peer's confirmation with its age", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, roster(1, ["gw1", "gw2", "gw3", "gw4", "gw5"]));
    heartbeatAnswered(member, 10_000, 10_002, heartbeat("gw2", 1, { freshnessAgeMs: 3_000 }));
    assert.ok(member.mayTakeNewWork(12_000));
    assert.ok(!member.mayTakeNewWork(12_001));
    assert.equal(member.answerHeartbeat(heartbeat("gw3", 1), 11_000).answer.freshnessAgeMs, 4_000);
});

// Guards against slow propagation of a change while the store is unreachable: otherwise each gateway would learn of it
// only with its own next heartbeat.
test("a gateway fetches a change as soon as a peer's heartbeat reports it", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    const { commands } = member.answerHeartbeat(heartbeat("gw2", 2), 2);
    assert.deepEqual(commands, [{ type: "fetch", address: gateway("gw2").peerAddress }]);
    assert.deepEqual(member.answerHeartbeat(heartbeat("gw2", 2), 3).commands, [], "one fetch at a time");
});

test("a gateway in a planned stop accepts no new work", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    member.handle({ type: "stopping" }, 2);
    assert.ok(!member.mayTakeNewWork(2));
});

// Guards against control traffic that grows with the fleet and with each forwarded load, at the expense of callers.
test("heartbeats don't exceed their byte rate, and loads are omitted first", () => {
    const member = createMember();
    const names = Array.from({ length: 15 }, (_, i) => `gw${i + 1}`);
    storeRead(member, 0, 0, 1, roster(1, names));
    const load = { serverId: "tables/t1", ownInFlight: 1, reportedInFlight: undefined, ageMs: 0 } as const;
    member.handle({ type: "loadsPublished", loads: Array.from({ length: 50 }, () => load) }, 0);
    const sentTo = new Map<string, number>();
    let bytes = 0;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
        for (const command of member.handle({ type: "ticked" }, nowMs)) {
            if (command.type === "sendHeartbeat") {
                bytes += heartbeatBytes + command.heartbeat.loads.length * 110;
                sentTo.set(command.address, (sentTo.get(command.address) ?? 0) + 1);
                member.handle({ type: "heartbeatFailed", address: command.address }, nowMs);
            }
        }
    }
    assert.ok(bytes <= 60 * controlBytesPerSecond + controlBurstBytes, `${bytes} bytes in a minute`);
    assert.equal(sentTo.size, 14);
    for (const count of sentTo.values()) {
        assert.ok(count >= 60_000 / timings.freshForMs, "each peer is called before its contact expires");
    }
    const signal = { serverId: "tables/t1", kind: "leaving", epoch: 0, incarnation: undefined, ageMs: 0 } as const;
    const urgent = member.handle({ type: "signalsPublished", signals: [signal] }, 60_000);
    assert.equal(urgent.filter(command => command.type === "sendHeartbeat").length, 14, "signals aren't delayed");
});
