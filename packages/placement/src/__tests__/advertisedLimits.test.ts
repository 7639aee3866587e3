import { type RegisteredServer } from "@galenaglade/fleet-state";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LimitSource, type ParsedLimit, AdvertisedLimits } from "../index.js";

const server: RegisteredServer = {
    id: "a",
    service: "tables",
    address: { host: "10.0.0.1", port: 80 },
    availabilityZone: "north",
    slots: 3,
    state: "ready",
    coldRemainingMs: 0,
    startedAtEpochMs: 1,
};
function request(sentAtMs: number): LimitSource {
    return { answered: "request", sentAtMs };
}

const none: ParsedLimit = { type: "none" };

function named(perSecond: number): ParsedLimit {
    return { type: "named", perSecond };
}

test("a limit holds from the first answer that names it until one that doesn't", () => {
    const limits = new AdvertisedLimits();
    assert.deepEqual(limits.onResponse(server, named(2), request(0), 10), {
        type: "named",
        perSecond: 2,
        before: undefined,
    });
    assert.equal(limits.onResponse(server, named(2), request(10), 20), undefined);
    assert.deepEqual(limits.onResponse(server, named(1), request(20), 30), {
        type: "changed",
        perSecond: 1,
        before: 2,
    });
    assert.equal(limits.of(server)?.perSecond, 1);
    assert.deepEqual(limits.onResponse(server, none, request(40), 50), { type: "ended", before: 1, heldMs: 40 });
    assert.equal(limits.of(server), undefined);
});

// An answer that was made before the limit and comes after the first one with it must not end it.
test("an answer to a request that was sent before the limit was heard doesn't end it", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, none, request(5), 20), undefined);
    assert.equal(limits.of(server)?.perSecond, 2);
});

test("a malformed limit changes nothing", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, { type: "malformed", text: "many" }, request(20), 30), undefined);
    assert.equal(limits.of(server)?.perSecond, 2);
});

test("a server that was started again under its id has named no limit", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.of({ ...server, startedAtEpochMs: 2 }), undefined);
});

// A service may name limits in answers to requests only; its answers to questions for load say nothing of their end.
test("an answer ends a limit only where answers of its kind have named it", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, none, { answered: "question", sentAtMs: 20 }, 30), undefined);
    limits.onResponse(server, named(2), { answered: "question", sentAtMs: 40 }, 50);
    assert.equal(limits.onResponse(server, none, { answered: "question", sentAtMs: 60 }, 70)?.type, "ended");
});
