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

test("a limit is in effect from the first response that advertises it until one that doesn't", () => {
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

// Guards against a response from before the limit that arrives after the first response with it, and ends it by
// mistake.
test("a response to a request that was sent before the limit became known doesn't end it", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, none, request(5), 20), undefined);
    assert.equal(limits.of(server)?.perSecond, 2);
});

test("a malformed limit is ignored", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, { type: "malformed", text: "many" }, request(20), 30), undefined);
    assert.equal(limits.of(server)?.perSecond, 2);
});

test("a server that restarted under the same id has no limit", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.of({ ...server, startedAtEpochMs: 2 }), undefined);
});

// Guards against probe responses that end a limit by mistake, because the service advertises limits only in responses
// to requests.
test("a response ends a limit only if responses of its kind have advertised it", () => {
    const limits = new AdvertisedLimits();
    limits.onResponse(server, named(2), request(0), 10);
    assert.equal(limits.onResponse(server, none, { answered: "question", sentAtMs: 20 }, 30), undefined);
    limits.onResponse(server, named(2), { answered: "question", sentAtMs: 40 }, 50);
    assert.equal(limits.onResponse(server, none, { answered: "question", sentAtMs: 60 }, 70)?.type, "ended");
});
