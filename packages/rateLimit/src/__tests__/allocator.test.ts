import assert from "node:assert/strict";
import { test } from "node:test";
import { Allocator } from "../allocator.js";
import { leaseMs } from "../constants.js";
import { type LimitResponseMessage, type LimitRequestMessage, protocolVersion } from "../messages.js";

/** One host that talks to one allocator. */
class Talk {
    readonly allocator: Allocator;
    #seq = 0;

    constructor(allocator = new Allocator({ name: "a", incarnation: "a1", group: 0 }, 0)) {
        this.allocator = allocator;
    }

    create(more: Partial<LimitRequestMessage> = {}): LimitRequestMessage {
        const fixed = { v: protocolVersion, type: "ask", sender: "h", life: "h1", group: 0, share: 1 } as const;
        return { ...fixed, seq: this.#seq++, entries: [], ...more };
    }

    ask(nowMs: number, more: Partial<LimitRequestMessage> = {}): LimitResponseMessage | undefined {
        return this.allocator.onRequest(this.create(more), nowMs);
    }

    /** Tokens that the allocator grants of ten. */
    take(
        nowMs: number,
        more: { readonly perSecond?: number; readonly configVersion?: number; readonly givenBack?: number; } = {},
    ): number {
        const entry = { workspace: "w", perSecond: 10, burst: 10, configVersion: 1, wanted: 10, givenBack: 0, ...more };
        const answer = this.ask(nowMs, { echo: { life: "a1", atMs: nowMs }, entries: [entry] });
        return answer?.entries[0]?.granted ?? 0;
    }
}

test("a message without the allocator's time brings no share: it may have been under way for long", () => {
    const talk = new Talk();
    talk.ask(0);
    assert.equal(talk.allocator.sharesHeld, 0);
    talk.ask(5, { echo: { life: "a1", atMs: 0 } });
    assert.equal(talk.allocator.sharesHeld, 1);
});

// A message that was delayed for most of a lease would extend it, while its host goes elsewhere.
test("a lease ends its time after the echoed one, whenever the message came", () => {
    const talk = new Talk();
    talk.ask(leaseMs - 100, { echo: { life: "a1", atMs: 0 } });
    talk.allocator.advance(leaseMs - 1);
    assert.equal(talk.allocator.sharesHeld, 1);
    talk.allocator.advance(leaseMs);
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("times of a former life, as after a suspension, bring no share", () => {
    const talk = new Talk();
    talk.ask(0, { echo: { life: "a1", atMs: 0 } });
    talk.allocator.onSuspended("a1.1", 10);
    assert.equal(talk.allocator.sharesHeld, 0);
    talk.ask(20, { echo: { life: "a1", atMs: 5 } });
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("a retransmission takes no further tokens, and an older message changes nothing", () => {
    const talk = new Talk();
    const [older, echo] = [talk.create({ share: 1 }), { life: "a1", atMs: 0 }];
    const entry = { workspace: "w", perSecond: 100, burst: 9, configVersion: 1, wanted: 5, givenBack: 0 };
    talk.ask(0, { echo });
    const ask = talk.create({ echo: { life: "a1", atMs: 900 }, entries: [entry] });
    const first = talk.allocator.onRequest(ask, 900);
    assert.equal(first?.entries[0]?.granted, 5);
    assert.deepEqual(talk.allocator.onRequest(ask, 901), { ...first, atMs: 901 });
    assert.equal(talk.allocator.snapshot()[0]?.granted, 5);
    assert.equal(talk.allocator.onRequest(older, 902), undefined);
});

// A process that was restarted may delegate to another allocator; a late message of the old one would count the share twice.
test("a new process of a host drops the old one's share, which late messages don't bring back", () => {
    const talk = new Talk();
    const echo = { life: "a1", atMs: 0 };
    talk.ask(0, { echo });
    talk.ask(10, { life: "h2", share: 0 });
    assert.equal(talk.allocator.sharesHeld, 0);
    assert.equal(talk.ask(20, { echo }), undefined);
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("a bucket falls with the shares, refills by them, and takes back no more than it holds", () => {
    const talk = new Talk();
    for (let nowMs = 0; nowMs < 4_000; nowMs += 400) {
        talk.ask(nowMs, { echo: { life: "a1", atMs: nowMs } });
    }
    assert.equal(talk.take(4_000), 10);
    assert.equal(talk.take(4_001, { givenBack: 100 }), 10);
    talk.ask(4_002, { share: 0.1, echo: { life: "a1", atMs: 4_002 } });
    assert.equal(talk.allocator.snapshot()[0]?.capacity, 1.35);
    assert.ok((talk.allocator.snapshot()[0]?.level ?? 9) <= 1.35);
});

test("the limit of the highest configuration version is in force, whichever host speaks last", () => {
    const talk = new Talk();
    talk.take(0, { configVersion: 2, perSecond: 5 });
    talk.take(1, { configVersion: 1, perSecond: 50 });
    assert.equal(talk.allocator.snapshot()[0]?.perSecond, 5);
    talk.take(2, { configVersion: 3, perSecond: 7 });
    assert.equal(talk.allocator.snapshot()[0]?.perSecond, 7);
});

test("callers over the limit are told times one after the other, three seconds at most", () => {
    const talk = new Talk();
    const entry = { workspace: "w", perSecond: 2, burst: 0, configVersion: 1, wanted: 1, givenBack: 0 };
    const times = Array.from(
        { length: 12 },
        (_, i) => talk.ask(i, { echo: { life: "a1", atMs: i }, entries: [entry] })?.entries[0]?.retryAfterMs ?? 0,
    );
    const waits = times.filter(time => time > 0);
    assert.ok(
        waits.every((time, i) => time <= 3_000 && (i === 0 || time >= Math.min(2_999, (waits[i - 1] ?? 0) + 490))),
    );
});

test("an allocator that leaves drops its shares before it says so, and holds none again", () => {
    const talk = new Talk();
    talk.ask(0, { echo: { life: "a1", atMs: 0 } });
    assert.deepEqual(talk.allocator.releaseShares(5).map(({ to, message }) => [to, message.leaving]), [["h", true]]);
    assert.equal(talk.ask(6, { echo: { life: "a1", atMs: 6 } })?.leaving, true);
    assert.equal(talk.allocator.sharesHeld, 0);
});
