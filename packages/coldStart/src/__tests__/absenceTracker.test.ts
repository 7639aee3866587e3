import assert from "node:assert/strict";
import { test } from "node:test";
import { AbsenceTracker } from "../absenceTracker.js";
import { authorityChangeDelayMs, contactTimeoutMs } from "../constants.js";

const longMs = contactTimeoutMs + authorityChangeDelayMs;

// Two gateways warm the same cold server up. The owner had its last answer from here, and may act on it for a while;
// called absent any sooner, it would have a successor while it still sends.
test("a member is absent only when its last answer from here no longer counts for it", () => {
    const absences = new AbsenceTracker("g1/1");
    absences.onRoster(0);
    absences.onHeartbeat("g2/1", 1_000);
    assert.deepEqual(absences.reportAbsent(["g1/1", "g2/1"], 1_000 + longMs - 1), []);
    assert.deepEqual(absences.reportAbsent(["g1/1", "g2/1"], 1_000 + longMs), ["g2/1"]);
});

// The same, the other way round: the owner comes back while its successor still acts on its absence.
test("a member that was called absent stays suspended while somebody may rely on that", () => {
    const absences = new AbsenceTracker("g1/1");
    absences.onRoster(0);
    absences.reportAbsent(["g2/1"], 10_000);
    absences.onHeartbeat("g2/1", 10_100);
    assert.equal(absences.isSuspended("g2/1", 10_000 + longMs - 1), true);
    assert.equal(absences.isSuspended("g2/1", 10_000 + longMs), false);
    assert.equal(absences.isSuspended("g3/1", 10_100), false);
});
