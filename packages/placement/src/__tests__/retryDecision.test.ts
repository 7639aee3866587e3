import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { isRetryAllowed, type SendEnd } from "../index.js";

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

// Guards against duplicate execution, such as paying a deposit twice after its connection was lost.
test("a non-idempotent request is retried only if no send of it can have run", () => {
    fc.assert(fc.property(ends, fc.nat(2), (pastEnds, inFlight) => {
        const may = isRetryAllowed({
            idempotent: false,
            isBodyReplayable: true,
            maximumRuns: 2,
            ends: pastEnds,
            inFlight,
        });
        if (may) {
            assert.ok(inFlight === 0 && pastEnds.every(({ type }) => type === "notRun"));
        }
    }));
});

test("no request can run on more servers than its route allows", () => {
    fc.assert(fc.property(ends, fc.nat(2), fc.integer({ min: 1, max: 3 }), (pastEnds, inFlight, maximumRuns) => {
        const may = isRetryAllowed({
            idempotent: true,
            isBodyReplayable: true,
            maximumRuns,
            ends: pastEnds,
            inFlight,
        });
        const possibleRuns = inFlight + pastEnds.filter(({ type }) => type !== "notRun").length;
        assert.ok(!may || possibleRuns < maximumRuns);
    }));
});

test("a request whose body is no longer available isn't retried", () => {
    const pastEnds: SendEnd[] = [{ type: "notRun", reason: "turnedAway" }];
    assert.equal(
        isRetryAllowed({ idempotent: true, isBodyReplayable: false, maximumRuns: 2, ends: pastEnds, inFlight: 0 }),
        false,
    );
});
