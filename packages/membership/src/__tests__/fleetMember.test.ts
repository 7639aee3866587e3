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

// Callers of one gateway get answers from a zone after it was taken out.
// The store's answer comes late; counted from its arrival, the gateway goes on past the time that others wait for it.
test("what the store says counts from before it was asked", () => {
    const member = createMember();
    storeRead(member, 0, 4_000, 1, three);
    assert.ok(member.mayTakeNewWork(timings.freshForMs));
    assert.ok(!member.mayTakeNewWork(timings.freshForMs + 1));
});

// The same with peers: the answer that makes up the majority was a long time on its way.
test("what a peer says counts from before it was asked", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    heartbeatAnswered(member, 6_000, 9_000, heartbeat("gw2", 1));
    assert.ok(member.mayTakeNewWork(11_000));
    assert.ok(!member.mayTakeNewWork(11_001));
});

// A gateway goes on under the old configuration although it heard that there is a newer one.
// Its peer's answer must not count before it holds what the peer holds; an earlier answer counts for its time, so that
// hearing of a change stops no work while it is fetched.
test("a peer that holds something newer counts once this gateway holds it too", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    heartbeatAnswered(member, 4_000, 4_001, heartbeat("gw2", 1));
    const commands = heartbeatAnswered(member, 8_000, 8_001, heartbeat("gw2", 2));
    assert.deepEqual(commands, [{ type: "fetch", address: gateway("gw2").peerAddress }]);
    assert.ok(member.mayTakeNewWork(9_000), "by the answer of 4,000");
    assert.ok(!member.mayTakeNewWork(9_001), "the answer of 8,000 told of a newer revision");
    const offer = { offered: createRevision(2), roster: three };
    member.handle({ type: "fetched", address: gateway("gw2").peerAddress, offer }, 9_100);
    assert.ok(member.mayTakeNewWork(9_100));
    assert.equal(member.configuration?.revision, 2);
});

// A zone that was taken out gets work again, since an answer that was overtaken brought the old configuration back.
test("a lower revision is never applied, whoever offers it", () => {
    const member = createMember();
    storeRead(member, 0, 1, 3, three);
    assert.deepEqual(member.answerOffer({ offered: createRevision(2), roster: undefined }, 2).commands, []);
    assert.deepEqual(storeRead(member, 2, 3, 2, three), []);
    assert.equal(member.configuration?.revision, 3);
});

// The store was put back from a copy, and every gateway would take the old state for confirmed.
test("a store that shows less than was seen confirms nothing", () => {
    const member = createMember();
    storeRead(member, 0, 1, 3, three);
    storeRead(member, 4_000, 4_001, 2, three);
    assert.ok(!member.mayTakeNewWork(5_001));
});

// A change is called in force, and a gateway that registered a moment later sends work under the old configuration.
// It read the store before it registered, so whoever accepted the change in between couldn't know of it.
test("a gateway outside the roster counts only what it read after it registered", () => {
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
    assert.ok(!member.mayTakeNewWork(lapsesAtMs), "nobody may know of it any more");
});

// The same with a gateway that has just become a member: the store's word is from before that.
test("a member counts only what was read when it was a member", () => {
    const member = createMember("gw4");
    storeRead(member, 0, 1, 1, three);
    member.answerOffer({ offered: undefined, roster: roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2"]) }, 2);
    assert.ok(!member.mayTakeNewWork(3));
    storeRead(member, 4, 5, 1, roster(2, ["gw1", "gw2", "gw3", "gw4"], ["gw1", "gw2"]));
    assert.ok(member.mayTakeNewWork(6));
});

// Every gateway that lost the store would refuse, although a peer knows that nothing has changed.
// The peer's word is as old as it says, counted from before it was asked, and may be handed on.
test("a peer's word on the store is taken over with its age", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, roster(1, ["gw1", "gw2", "gw3", "gw4", "gw5"]));
    heartbeatAnswered(member, 10_000, 10_002, heartbeat("gw2", 1, { freshnessAgeMs: 3_000 }));
    assert.ok(member.mayTakeNewWork(12_000));
    assert.ok(!member.mayTakeNewWork(12_001));
    assert.equal(member.answerHeartbeat(heartbeat("gw3", 1), 11_000).answer.freshnessAgeMs, 4_000);
});

// A change spreads slowly where the store is out of reach: each gateway would wait for its own next call.
test("a peer's call is enough to hear of a change", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    const { commands } = member.answerHeartbeat(heartbeat("gw2", 2), 2);
    assert.deepEqual(commands, [{ type: "fetch", address: gateway("gw2").peerAddress }]);
    assert.deepEqual(member.answerHeartbeat(heartbeat("gw2", 2), 3).commands, [], "one fetch at a time");
});

test("a gateway in its planned stop takes no new work", () => {
    const member = createMember();
    storeRead(member, 0, 1, 1, three);
    member.handle({ type: "stopping" }, 2);
    assert.ok(!member.mayTakeNewWork(2));
});

// Control traffic grows with the fleet and with every load that is passed on, until it takes what callers need.
test("heartbeats keep to their bytes a second, and loads are the first to be left out", () => {
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
        assert.ok(count >= 60_000 / timings.freshForMs, "each peer is heard within the time that contact counts");
    }
    const signal = { serverId: "tables/t1", kind: "leaving", epoch: 0, incarnation: undefined, ageMs: 0 } as const;
    const urgent = member.handle({ type: "signalsPublished", signals: [signal] }, 60_000);
    assert.equal(urgent.filter(command => command.type === "sendHeartbeat").length, 14, "signals don't wait");
});
