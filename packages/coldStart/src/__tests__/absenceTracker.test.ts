import assert from "node:assert/strict";
import { test } from "node:test";
import { AbsenceTracker } from "../absenceTracker.js";
import { authorityChangeDelayMs, contactTimeoutMs } from "../constants.js";

const longMs = contactTimeoutMs + authorityChangeDelayMs;

// Two gateways warm up the same cold server: the owner may act on this gateway's last response for some time, and if it
// is reported absent earlier, its successor takes over while the owner still sends.
test("a member is not reported absent while this gateway's last response to it counts as contact", () => {
    const absences = new AbsenceTracker("g1/1");
    absences.onRoster(0);
    absences.onHeartbeat("g2/1", 1_000);
    assert.deepEqual(absences.reportAbsent(["g1/1", "g2/1"], 1_000 + longMs - 1), []);
    assert.deepEqual(absences.reportAbsent(["g1/1", "g2/1"], 1_000 + longMs), ["g2/1"]);
});

// Two gateways warm up the same cold server: the owner comes back while its successor still relies on its absence.
test("a member that was reported absent stays suspended while a peer may rely on the report", () => {
    const absences = new AbsenceTracker("g1/1");
    absences.onRoster(0);
    absences.reportAbsent(["g2/1"], 10_000);
    absences.onHeartbeat("g2/1", 10_100);
    assert.equal(absences.isSuspended("g2/1", 10_000 + longMs - 1), true);
    assert.equal(absences.isSuspended("g2/1", 10_000 + longMs), false);
    assert.equal(absences.isSuspended("g3/1", 10_100), false);
});
