import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { mayTryAgain, type SendEnd } from "../index.js";

const ends = fc.array(
    fc.constantFrom<SendEnd>(
        { type: "answered", status: 500 },
        { type: "notRun", reason: "turnedAway" },
        { type: "notRun", reason: "connectFailed" },
        { type: "notRun", reason: "otherServer" },
        { type: "unknown", reason: "connectionLost" },
        { type: "unknown", reason: "cutShort" },
        { type: "abandoned" },
    ),
    { maxLength: 8 },
);

// A deposit is sent, and its connection is lost: it may have run. Sent once more, the buyer may pay twice.
test("a non-idempotent request is sent again only where no send of it can have run", () => {
    fc.assert(fc.property(ends, fc.nat(2), (past, underWay) => {
        const may = mayTryAgain({ idempotent: false, repeatable: true, maximumRuns: 2, ends: past, underWay });
        if (may) {
            assert.ok(underWay === 0 && past.every(({ type }) => type === "notRun"));
        }
    }));
});

test("no request may run on more servers than its route allows", () => {
    fc.assert(fc.property(ends, fc.nat(2), fc.integer({ min: 1, max: 3 }), (past, underWay, maximumRuns) => {
        const may = mayTryAgain({ idempotent: true, repeatable: true, maximumRuns, ends: past, underWay });
        const possibleRuns = underWay + past.filter(({ type }) => type !== "notRun").length;
        assert.ok(!may || possibleRuns < maximumRuns);
    }));
});

test("a request whose body is gone is not sent again", () => {
    const past: SendEnd[] = [{ type: "notRun", reason: "turnedAway" }];
    assert.equal(mayTryAgain({ idempotent: true, repeatable: false, maximumRuns: 2, ends: past, underWay: 0 }), false);
});
