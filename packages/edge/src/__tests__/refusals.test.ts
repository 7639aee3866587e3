import { createFailure, errorKinds, type Failure, isPromisedNotRun, resolveFailure } from "@galenaglade/errors";
import { type SendEnd, TypicalLatency } from "@galenaglade/placement";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { type EdgeRequest } from "../requests/edgeRequest.js";
import { type ExchangeResult, LocalReplies, type UnservedCauses } from "../requests/localReplies.js";
import { SendRecord } from "../requests/sendRecord.js";
import { returns } from "./support/testEdge.js";

interface DrawnSend {
    /** `undefined` while it is in flight. */
    readonly end: SendEnd | undefined;
    readonly isWritten: boolean;
    /** Failure that another gateway reported with it. */
    readonly reported: Failure | undefined;
}

const notRun = fc.constantFrom<SendEnd>(
    { type: "notRun", reason: "connectFailed" },
    { type: "notRun", reason: "notSent" },
    { type: "notRun", reason: "turnedAway" },
    { type: "notRun", reason: "otherServer" },
);
const mayHaveRun = fc.constantFrom<SendEnd>(
    { type: "unknown", reason: "connectionLost" },
    { type: "unknown", reason: "cutShort" },
    { type: "unknown", reason: "notAnAnswer" },
    { type: "abandoned" },
    { type: "answered", status: 503 },
);
const failure = fc.constantFrom(...errorKinds).map(kind => createFailure(kind, "reported"));
const reported = fc.option(failure, { nil: undefined });
const ended = fc.record({ end: fc.oneof(notRun, notRun, mayHaveRun), isWritten: fc.constant(true), reported });
const inFlight = fc.record({ end: fc.constant(undefined), isWritten: fc.boolean(), reported: fc.constant(undefined) });
const sends = fc.array<DrawnSend>(fc.oneof(ended, ended, inFlight), { maxLength: 4 });
const remainingMs = fc.option(fc.nat(5_000), { nil: undefined });
const causes = fc.record({
    keyChange: fc.constantFrom("revoked" as const, "moved" as const, undefined),
    isStopping: fc.boolean(),
    quarantinedForMs: remainingMs,
    backoffRemainingMs: remainingMs,
});

const request = { rules: { name: "tables" }, route: returns } as unknown as EdgeRequest;
const replies = new LocalReplies(request, new TypicalLatency(), createRandomSource(1));

function record(drawn: readonly DrawnSend[]): SendRecord {
    const sendRecord = new SendRecord();
    for (const { end, isWritten } of drawn) {
        const send = { isWritten: () => isWritten };
        sendRecord.onStarted(send);
        if (end !== undefined) {
            sendRecord.onEnded(send, end, "reachedServer");
        }
    }
    return sendRecord;
}

function failureOf(result: ExchangeResult): Failure {
    assert.ok(result.type === "failed");
    return result.failure;
}

// Guards against a non-idempotent request that runs twice, since its caller repeats it after a refusal.
test("whatever has caused it, a refusal is returned only if no send may have run, and always then", () => {
    fc.assert(
        fc.property(sends, causes, fc.boolean(), (drawn, drawnCauses, isDue) => {
            const sendRecord = record(drawn);
            const handoverFailure = drawn.findLast(send => send.reported !== undefined)?.reported;
            const all: UnservedCauses = {
                ...drawnCauses,
                handoverFailure,
                wasHandedOver: handoverFailure !== undefined,
            };
            const result = isDue
                ? replies.timedOut(sendRecord, undefined)
                : replies.unserved(sendRecord, undefined, all);
            const returned = sendRecord.confirm(failureOf(result));
            const isCertain = drawn.every(({ end, isWritten }) =>
                end === undefined ? !isWritten : end.type === "notRun"
            );
            assert.equal(isPromisedNotRun(returned), isCertain, `${returned.kind} after ${sendRecord.describe()}`);
            assert.equal(sendRecord.isSealed, isCertain, "nothing is written after a refusal");
        }),
        { seed: 59, numRuns: 5_000 },
    );
});

// Guards against a new cause of a refusal, or a response replaced later, that doesn't ask how the sends ended.
test("a failure of any kind loses its promise once a send may have run", () => {
    fc.assert(
        fc.property(sends, failure, (drawn, cause) => {
            const sendRecord = record([...drawn, { end: undefined, isWritten: true, reported: undefined }]);
            const { status, didRun } = resolveFailure(sendRecord.confirm(cause));
            assert.ok(![408, 421, 429, 503].includes(status) && didRun !== "no", `${cause.kind} became ${status}`);
        }),
        { seed: 59, numRuns: 2_000 },
    );
});
