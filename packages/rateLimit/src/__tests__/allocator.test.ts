import assert from "node:assert/strict";
import { test } from "node:test";
import { Allocator } from "../allocator.js";
import { leaseMs } from "../constants.js";
import { type LimitResponseMessage, type LimitRequestMessage, protocolVersion } from "../messages.js";

/** A host that exchanges messages with an allocator. */
class AllocatorClient {
    readonly allocator: Allocator;
    #seq = 0;

    constructor(allocator = new Allocator({ name: "a", incarnation: "a1", group: 0 }, 0)) {
        this.allocator = allocator;
    }

    create(more: Partial<LimitRequestMessage> = {}): LimitRequestMessage {
        const fixed = { v: protocolVersion, type: "ask", sender: "h", life: "h1", group: 0, share: 1 } as const;
        return { ...fixed, seq: this.#seq++, entries: [], ...more };
    }

    send(nowMs: number, more: Partial<LimitRequestMessage> = {}): LimitResponseMessage | undefined {
        return this.allocator.onRequest(this.create(more), nowMs);
    }

    /** Requests ten tokens. @returns the number of tokens granted */
    requestTokens(
        nowMs: number,
        more: { readonly perSecond?: number; readonly configVersion?: number; readonly givenBack?: number; } = {},
    ): number {
        const entry = { workspace: "w", perSecond: 10, burst: 10, configVersion: 1, wanted: 10, givenBack: 0, ...more };
        const answer = this.send(nowMs, { echo: { life: "a1", atMs: nowMs }, entries: [entry] });
        return answer?.entries[0]?.granted ?? 0;
    }
}

test("a message without an echoed timestamp delegates no share, since its age is unknown", () => {
    const talk = new AllocatorClient();
    talk.send(0);
    assert.equal(talk.allocator.sharesHeld, 0);
    talk.send(5, { echo: { life: "a1", atMs: 0 } });
    assert.equal(talk.allocator.sharesHeld, 1);
});

// Guards against a delayed message that extends a lease while its host already uses another allocator.
test("a lease is counted from the echoed timestamp, not from the arrival of the message", () => {
    const talk = new AllocatorClient();
    talk.send(leaseMs - 100, { echo: { life: "a1", atMs: 0 } });
    talk.allocator.advance(leaseMs - 1);
    assert.equal(talk.allocator.sharesHeld, 1);
    talk.allocator.advance(leaseMs);
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("timestamps of a previous incarnation, as after a suspension, delegate no share", () => {
    const talk = new AllocatorClient();
    talk.send(0, { echo: { life: "a1", atMs: 0 } });
    talk.allocator.onSuspended("a1.1", 10);
    assert.equal(talk.allocator.sharesHeld, 0);
    talk.send(20, { echo: { life: "a1", atMs: 5 } });
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("a retransmission consumes no further tokens, and an outdated message is ignored", () => {
    const talk = new AllocatorClient();
    const [older, echo] = [talk.create({ share: 1 }), { life: "a1", atMs: 0 }];
    const entry = { workspace: "w", perSecond: 100, burst: 9, configVersion: 1, wanted: 5, givenBack: 0 };
    talk.send(0, { echo });
    const ask = talk.create({ echo: { life: "a1", atMs: 900 }, entries: [entry] });
    const first = talk.allocator.onRequest(ask, 900);
    assert.equal(first?.entries[0]?.granted, 5);
    assert.deepEqual(talk.allocator.onRequest(ask, 901), { ...first, atMs: 901 });
    assert.equal(talk.allocator.snapshot()[0]?.granted, 5);
    assert.equal(talk.allocator.onRequest(older, 902), undefined);
});

// A restarted process may delegate to another allocator. Guards against a late message of the previous process, with
// which the share would count twice.
test("a restarted host's previous share is dropped, and late messages don't restore it", () => {
    const talk = new AllocatorClient();
    const echo = { life: "a1", atMs: 0 };
    talk.send(0, { echo });
    talk.send(10, { life: "h2", share: 0 });
    assert.equal(talk.allocator.sharesHeld, 0);
    assert.equal(talk.send(20, { echo }), undefined);
    assert.equal(talk.allocator.sharesHeld, 0);
});

test("a bucket's level and refill follow the shares, and returned tokens don't exceed its capacity", () => {
    const talk = new AllocatorClient();
    for (let nowMs = 0; nowMs < 4_000; nowMs += 400) {
        talk.send(nowMs, { echo: { life: "a1", atMs: nowMs } });
    }
    assert.equal(talk.requestTokens(4_000), 10);
    assert.equal(talk.requestTokens(4_001, { givenBack: 100 }), 10);
    talk.send(4_002, { share: 0.1, echo: { life: "a1", atMs: 4_002 } });
    assert.equal(talk.allocator.snapshot()[0]?.capacity, 1.35);
    assert.ok((talk.allocator.snapshot()[0]?.level ?? 9) <= 1.35);
});

test("the limit of the highest configuration version applies, whichever host sent the latest message", () => {
    const talk = new AllocatorClient();
    talk.requestTokens(0, { configVersion: 2, perSecond: 5 });
    talk.requestTokens(1, { configVersion: 1, perSecond: 50 });
    assert.equal(talk.allocator.snapshot()[0]?.perSecond, 5);
    talk.requestTokens(2, { configVersion: 3, perSecond: 7 });
    assert.equal(talk.allocator.snapshot()[0]?.perSecond, 7);
});

test("callers over the limit get increasing retry delays of at most three seconds", () => {
    const talk = new AllocatorClient();
    const entry = { workspace: "w", perSecond: 2, burst: 0, configVersion: 1, wanted: 1, givenBack: 0 };
    const times = Array.from(
        { length: 12 },
        (_, i) => talk.send(i, { echo: { life: "a1", atMs: i }, entries: [entry] })?.entries[0]?.retryAfterMs ?? 0,
    );
    const waits = times.filter(time => time > 0);
    assert.ok(
        waits.every((time, i) => time <= 3_000 && (i === 0 || time >= Math.min(2_999, (waits[i - 1] ?? 0) + 490))),
    );
});

test("an allocator that shuts down drops its shares before it announces that, and accepts none afterwards", () => {
    const talk = new AllocatorClient();
    talk.send(0, { echo: { life: "a1", atMs: 0 } });
    assert.deepEqual(talk.allocator.releaseShares(5).map(({ to, message }) => [to, message.leaving]), [["h", true]]);
    assert.equal(talk.send(6, { echo: { life: "a1", atMs: 6 } })?.leaving, true);
    assert.equal(talk.allocator.sharesHeld, 0);
});
