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
    const client = new AllocatorClient();
    client.send(0);
    assert.equal(client.allocator.sharesHeld, 0);
    client.send(5, { echo: { life: "a1", atMs: 0 } });
    assert.equal(client.allocator.sharesHeld, 1);
});

// Guards against a delayed message that extends a lease while its host already uses another allocator.
test("a lease is counted from the echoed timestamp, not from the arrival of the message", () => {
    const client = new AllocatorClient();
    client.send(leaseMs - 100, { echo: { life: "a1", atMs: 0 } });
    client.allocator.advance(leaseMs - 1);
    assert.equal(client.allocator.sharesHeld, 1);
    client.allocator.advance(leaseMs);
    assert.equal(client.allocator.sharesHeld, 0);
});

test("timestamps of a previous incarnation, as after a suspension, delegate no share", () => {
    const client = new AllocatorClient();
    client.send(0, { echo: { life: "a1", atMs: 0 } });
    client.allocator.onSuspended("a1.1", 10);
    assert.equal(client.allocator.sharesHeld, 0);
    client.send(20, { echo: { life: "a1", atMs: 5 } });
    assert.equal(client.allocator.sharesHeld, 0);
});

test("a retransmission consumes no further tokens, and an outdated message is ignored", () => {
    const client = new AllocatorClient();
    const [older, echo] = [client.create({ share: 1 }), { life: "a1", atMs: 0 }];
    const entry = { workspace: "w", perSecond: 100, burst: 9, configVersion: 1, wanted: 5, givenBack: 0 };
    client.send(0, { echo });
    const request = client.create({ echo: { life: "a1", atMs: 900 }, entries: [entry] });
    const first = client.allocator.onRequest(request, 900);
    assert.equal(first?.entries[0]?.granted, 5);
    assert.deepEqual(client.allocator.onRequest(request, 901), { ...first, atMs: 901 });
    assert.equal(client.allocator.snapshot()[0]?.granted, 5);
    assert.equal(client.allocator.onRequest(older, 902), undefined);
});

// A restarted process may delegate to another allocator. Guards against a late message of the previous process, with
// which the share would count twice.
test("a restarted host's previous share is dropped, and late messages don't restore it", () => {
    const client = new AllocatorClient();
    const echo = { life: "a1", atMs: 0 };
    client.send(0, { echo });
    client.send(10, { life: "h2", share: 0 });
    assert.equal(client.allocator.sharesHeld, 0);
    assert.equal(client.send(20, { echo }), undefined);
    assert.equal(client.allocator.sharesHeld, 0);
});

test("a bucket's level and refill follow the shares, and returned tokens don't exceed its capacity", () => {
    const client = new AllocatorClient();
    for (let nowMs = 0; nowMs < 4_000; nowMs += 400) {
        client.send(nowMs, { echo: { life: "a1", atMs: nowMs } });
    }
    assert.equal(client.requestTokens(4_000), 10);
    assert.equal(client.requestTokens(4_001, { givenBack: 100 }), 10);
    client.send(4_002, { share: 0.1, echo: { life: "a1", atMs: 4_002 } });
    assert.equal(client.allocator.snapshot()[0]?.capacity, 1.35);
    assert.ok((client.allocator.snapshot()[0]?.level ?? 9) <= 1.35);
});

test("the limit of the highest configuration version applies, whichever host sent the latest message", () => {
    const client = new AllocatorClient();
    client.requestTokens(0, { configVersion: 2, perSecond: 5 });
    client.requestTokens(1, { configVersion: 1, perSecond: 50 });
    assert.equal(client.allocator.snapshot()[0]?.perSecond, 5);
    client.requestTokens(2, { configVersion: 3, perSecond: 7 });
    assert.equal(client.allocator.snapshot()[0]?.perSecond, 7);
});

test("callers over the limit get increasing retry delays of at most three seconds", () => {
    const client = new AllocatorClient();
    const entry = { workspace: "w", perSecond: 2, burst: 0, configVersion: 1, wanted: 1, givenBack: 0 };
    const times = Array.from(
        { length: 12 },
        (_, i) => client.send(i, { echo: { life: "a1", atMs: i }, entries: [entry] })?.entries[0]?.retryAfterMs ?? 0,
    );
    const waits = times.filter(time => time > 0);
    assert.ok(
        waits.every((time, i) => time <= 3_000 && (i === 0 || time >= Math.min(2_999, (waits[i - 1] ?? 0) + 490))),
    );
});

test("an allocator that shuts down drops its shares before it announces that, and accepts none afterwards", () => {
    const client = new AllocatorClient();
    client.send(0, { echo: { life: "a1", atMs: 0 } });
    assert.deepEqual(client.allocator.releaseShares(5).map(({ to, message }) => [to, message.leaving]), [["h", true]]);
    assert.equal(client.send(6, { echo: { life: "a1", atMs: 6 } })?.leaving, true);
    assert.equal(client.allocator.sharesHeld, 0);
});
