import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerTrust } from "../serverTrust.js";

// A suspected server gets no trial request, and only an answered request ended the suspicion: a version on trial got nothing for
// eight seconds after a few questions that came late beside load, though its servers answered all later ones.
test("a server that was silent is trusted again once it tells its load", () => {
    const trust = new ServerTrust();
    for (let i = 0; i < 5; i++) {
        trust.onSilent("a", i * 50);
    }
    assert.ok(trust.isSuspect("a", 1_000));
    trust.onTold("a");
    assert.ok(!trust.isSuspect("a", 1_000));
    trust.onSilent("a", 1_000);
    assert.ok(trust.isSuspect("a", 1_900) && !trust.isSuspect("a", 2_100));
});

// A server that fails requests while its health check is good tells its load all the time.
test("a server that failed a request stays suspected whatever it tells, also where it was silent before or after", () => {
    for (const order of [["silent", "failed"], ["failed", "silent"], ["failed"]]) {
        const trust = new ServerTrust();
        for (const each of order) {
            if (each === "silent") {
                trust.onSilent("a", 0);
            }
            else {
                trust.onFailure("a", 0);
            }
        }
        trust.onTold("a");
        assert.ok(trust.isSuspect("a", 900), order.join());
        trust.onSuccess("a");
        assert.ok(!trust.isSuspect("a", 900), order.join());
    }
});
