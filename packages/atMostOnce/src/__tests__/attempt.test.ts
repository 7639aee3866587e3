import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
    advanceAttempt,
    type ResponseHead,
    type AttemptEvent,
    type AttemptOutcome,
    combineDidRun,
    createAttempt,
    type ResponseFraming,
    resolveAttempt,
} from "../index.js";

function run(idempotent: boolean, ...events: readonly AttemptEvent[]): AttemptOutcome {
    return resolveAttempt(events.reduce(advanceAttempt, createAttempt(idempotent)));
}

function createHead(status: number, framing: ResponseFraming, didRunHeader?: string): AttemptEvent {
    return { type: "headReceived", head: { status, framing, didRunHeader } };
}

const handOver: AttemptEvent = { type: "handOver" };
const closed: AttemptEvent = { type: "ended", end: "closed" };
const completed: AttemptEvent = { type: "ended", end: "completed" };
const tenBytes: ResponseFraming = { type: "length", bytes: 10 };

// The server closes an idle connection just as the first bytes of a return are sent. It may have read and run the
// request before closing, so neither reporting that it did not run nor a retry is safe.
test("a non-idempotent request whose connection closes after the first byte is unknown and not retried", () => {
    const outcome = run(false, handOver, closed);
    assert.deepEqual(outcome, { didRun: "unknown", mayRetry: false, whole: false, failure: "connectionLost" });
});

test("a request of which no byte was sent did not run, and may be retried", () => {
    for (const end of ["connectFailed", "closed"] as const) {
        const outcome = run(false, { type: "ended", end });
        assert.equal(outcome.didRun, "no");
        assert.equal(outcome.mayRetry, true);
    }
});

// An overloaded server reports that it shed a deposit before running it. Only a 503 with the did-run header "no"
// counts: a plain 503 may come from a proxy in front of the server that timed out while the request ran.
test("only a 503 with the server's did-run header counts as shed", () => {
    const shed = run(false, handOver, createHead(503, tenBytes, "no"), { type: "bodyReceived", bytes: 10 }, completed);
    assert.deepEqual(shed, { didRun: "no", mayRetry: true, whole: true, failure: "backendShed" });
    const plain = run(false, handOver, createHead(503, { type: "none" }), completed);
    assert.deepEqual(plain, { didRun: "unknown", mayRetry: false, whole: true, failure: undefined });
    const other = run(false, handOver, createHead(500, { type: "none" }, "no"), completed);
    assert.equal(other.didRun, "yes");
});

test("an idempotent request is not retried once a response head was received", () => {
    assert.equal(run(true, handOver, closed).mayRetry, true);
    assert.equal(run(true, handOver, { type: "ended", end: "timedOut" }).mayRetry, true);
    assert.equal(run(true, handOver, { type: "ended", end: "aborted" }).mayRetry, false);
    assert.equal(run(true, handOver, createHead(200, tenBytes), closed).mayRetry, false);
});

// The connection of a survey table is closed one byte before its declared length. Forwarded as complete, it would read
// as a shorter table.
test("a body with one byte less or more than its declared length is not complete", () => {
    for (const [bytes, whole] of [[9, false], [10, true], [11, false]] as const) {
        const outcome = run(
            true,
            handOver,
            createHead(200, tenBytes),
            { type: "bodyReceived", bytes },
            completed,
        );
        assert.equal(outcome.whole, whole);
        assert.equal(outcome.failure, whole ? undefined : "truncatedAnswer");
    }
    assert.equal(run(true, handOver, createHead(200, { type: "chunked" }), closed).whole, false);
    assert.equal(run(true, handOver, createHead(200, { type: "untilClose" }), completed).whole, false);
});

test("events after the end of an attempt do not change its outcome", () => {
    const late = run(true, handOver, { type: "ended", end: "timedOut" }, createHead(200, { type: "none" }), completed);
    assert.deepEqual(late, run(true, handOver, { type: "ended", end: "timedOut" }));
});

test("one attempt that may have run outweighs those that did not", () => {
    assert.equal(combineDidRun([]), "no");
    assert.equal(combineDidRun([{ didRun: "unknown" }, { didRun: "no" }]), "unknown");
    assert.equal(combineDidRun([{ didRun: "no" }, { didRun: "yes" }, { didRun: "unknown" }]), "yes");
});

// Property over all orders of events: a server can run only what was sent. Without the server's did-run header, "no" or
// a retry of a non-idempotent request is allowed only if no byte was written to the connection.
test("no order of events makes a sent request safe to retry without the server's did-run header", () => {
    const head: fc.Arbitrary<ResponseHead> = fc.record({
        status: fc.constantFrom(200, 204, 409, 500, 502, 503, 504),
        didRunHeader: fc.constantFrom(undefined, "no", "yes"),
        framing: fc.constantFrom<ResponseFraming>({ type: "none" }, tenBytes, { type: "chunked" }, {
            type: "untilClose",
        }),
    });
    const event: fc.Arbitrary<AttemptEvent> = fc.oneof(
        fc.constant(handOver),
        head.map(value => ({ type: "headReceived" as const, head: value })),
        fc.nat(12).map(bytes => ({ type: "bodyReceived" as const, bytes })),
        fc.constantFrom("completed" as const, "connectFailed" as const, "closed" as const, "timedOut" as const)
            .map(end => ({ type: "ended" as const, end })),
    );
    fc.assert(
        fc.property(fc.array(event, { maxLength: 8 }), events => {
            const attempt = events.reduce(advanceAttempt, createAttempt(false));
            const shed = attempt.head?.status === 503 && attempt.head.didRunHeader === "no";
            const outcome = resolveAttempt(attempt);
            if (attempt.handedOver && !shed) {
                assert.notEqual(outcome.didRun, "no");
                assert.equal(outcome.mayRetry, false);
            }
            if (outcome.whole) {
                assert.equal(attempt.end, "completed");
            }
        }),
        { seed: 20_261_203 },
    );
});
