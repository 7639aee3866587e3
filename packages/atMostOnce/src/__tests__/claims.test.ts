import { checkAtMostOnce, checkDidRunAccuracy, checkResponseIntegrity } from "@galenaglade/history";
import { createRandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
    ClaimSimulation,
    type ServerBehavior,
    type SimulatedAttempt,
    simulationLimits,
    type SimulatedStoreOutcome,
} from "./claimSimulation.js";

const answered: SimulatedStoreOutcome = { type: "answered", outMs: 1, backMs: 1 };
/** Outcome of the read before the write under test. */
const readAnswered = answered;
const answerLost: SimulatedStoreOutcome = { type: "answerLost", outMs: 1, timeoutMs: 100 };
const requestLost: SimulatedStoreOutcome = { type: "requestLost", timeoutMs: 100 };

function checkAll(simulation: ClaimSimulation): void {
    const found = [checkAtMostOnce, checkDidRunAccuracy, checkResponseIntegrity].flatMap(check =>
        check(simulation.history)
    );
    assert.deepEqual(found, []);
}

/** Gives each store call the next outcome of a list, and `answered` after its end. */
function createOutcomes(...outcomes: readonly SimulatedStoreOutcome[]): (client: string) => SimulatedStoreOutcome {
    const remaining = [...outcomes];
    return () => remaining.shift() ?? answered;
}

// A client times out early and retries through another gateway in the same millisecond. Both gateways write the claim
// with the same expected revision; the store accepts one write, and the other gateway must not send.
test("requests with the same key through two gateways at the same time run once", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0 });
    simulation.sendAt(10, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(2_000);
    assert.equal(simulation.startedRequestIds.length, 1);
    assert.deepEqual([...simulation.results.values()].map(result => result.kind).sort(), [
        "answered",
        "idempotencyKeyInUse",
    ]);
    checkAll(simulation);
});

// The store accepts the claim and its reply is lost. If the gateway did not recognize its own nonce, it would refuse
// the return as in progress although it never runs: a lost return, reported as unknown.
test("a gateway recognizes its own claim after the reply to its write was lost", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "warm", key: "w", gateway: 0 });
    simulation.clock.runUntil(200);
    simulation.resolveStoreOutcome = createOutcomes(readAnswered, answerLost);
    simulation.sendAt(210, { requestId: "r1", key: "w2", gateway: 0 });
    simulation.clock.runUntil(2_000);
    assert.equal(simulation.results.get("r1")?.kind, "answered");
    assert.deepEqual(simulation.startedRequestIds, ["warm", "r1"]);
    checkAll(simulation);
});

// The write of a claim takes effect long after its timeout, and the caller was told that the request did not run. The
// late claim must be detected and released, or the deposit could not be made for a day.
test("a claim that takes effect after its refusal is released", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "warm", key: "w", gateway: 0 });
    simulation.clock.runUntil(200);
    const first = createOutcomes(readAnswered, { type: "late", outMs: 350, timeoutMs: 100 });
    simulation.resolveStoreOutcome = (client, nowMs) => nowMs > 220 && nowMs < 700 ? requestLost : first(client);
    simulation.sendAt(210, { requestId: "r1", key: "k", gateway: 0 });
    simulation.clock.runUntil(1_500);
    assert.deepEqual(simulation.results.get("r1"), { kind: "storeUnavailable", didRun: "no", atMs: 412 });
    simulation.sendAt(1_510, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(2_500);
    assert.deepEqual(simulation.startedRequestIds, ["warm", "r2"]);
    checkAll(simulation);
});

// The store is down and its calls time out. The first caller is refused after two timeouts, since one lost reply is
// tolerated. Later ones are refused at once with didRun "no" for the rest of the outage, and the first request after it
// runs. If callers' claims were used to probe the store, each of those callers would wait for a timeout.
test("keyed requests do not wait for timeouts while the store is down", () => {
    const simulation = new ClaimSimulation([0]);
    simulation.resolveStoreOutcome = (_client, nowMs) => nowMs < 1_000 ? requestLost : answered;
    simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0 });
    simulation.sendAt(220, { requestId: "r2", key: "k", gateway: 0 });
    for (const atMs of [300, 400, 500, 777, 950]) {
        simulation.sendAt(atMs, { requestId: `at-${atMs}`, key: `k${atMs}`, gateway: 0 });
    }
    simulation.sendAt(1_300, { requestId: "r3", key: "k", gateway: 0 });
    simulation.clock.runUntil(2_500);
    assert.deepEqual(simulation.results.get("r1"), { kind: "storeUnavailable", didRun: "no", atMs: 210 });
    assert.deepEqual(simulation.results.get("r2"), { kind: "storeUnavailable", didRun: "no", atMs: 220 });
    for (const atMs of [300, 400, 500, 777, 950]) {
        assert.deepEqual(simulation.results.get(`at-${atMs}`), { kind: "storeUnavailable", didRun: "no", atMs });
    }
    assert.deepEqual(simulation.startedRequestIds, ["r3"]);
    checkAll(simulation);
});

// The holder is paused between claim and send for longer than claims are retained. Another gateway claims the key again
// and runs the request; when the first resumes, it would run the request a second time.
test("a holder that resumes after its claim's validity does not send", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0, pauseMs: 9_000 });
    simulation.sendAt(8_000, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(12_000);
    assert.deepEqual(simulation.startedRequestIds, ["r2"]);
    assert.equal(simulation.results.get("r1")?.didRun, "no");
    checkAll(simulation);
});

// The gateway that handles a deposit crashes. No other process knows whether the deposit was made, so the shopper's
// retry gets the outcome unknown instead of being charged again.
test("a crashed holder's claim is not released, and its outcome is unknown", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0, pauseMs: 100 });
    simulation.killAt(50, 0);
    simulation.sendAt(2_000, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(3_000);
    const result = simulation.results.get("r2");
    assert.deepEqual([result?.kind, result?.didRun], ["idempotencyKeyInUse", "unknown"]);
    assert.deepEqual(simulation.startedRequestIds, []);
    checkAll(simulation);
});

test("a key is released only if its request is known not to have run", () => {
    const ends: readonly (readonly [ServerBehavior, string, number])[] = [
        ["sheds", "answered", 1],
        ["answers", "idempotencyKeyEnded", 1],
        ["closesWhileRunning", "idempotencyKeyEnded", 1],
        ["closesBeforeRunning", "idempotencyKeyEnded", 0],
    ];
    for (const [server, kind, starts] of ends) {
        const simulation = new ClaimSimulation([0, 0]);
        simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0, server });
        simulation.sendAt(1_000, { requestId: "r2", key: "k", gateway: 1 });
        simulation.clock.runUntil(3_000);
        assert.equal(simulation.results.get("r2")?.kind, kind, server);
        assert.equal(simulation.startedRequestIds.length, starts, server);
        checkAll(simulation);
    }
});

// A gateway has cached a key as claimed in a bucket that was then sealed; later the holder's attempt ended without
// running. A refusal based on the cache would prevent a deposit that never ran.
test("a key is not refused because of a cached claim that has ended since", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(850, { requestId: "r1", key: "k", gateway: 0, pauseMs: 800 });
    simulation.sendAt(1_200, { requestId: "r2", key: "w", gateway: 1 });
    simulation.sendAt(1_900, { requestId: "r3", key: "k", gateway: 1 });
    simulation.clock.runUntil(3_000);
    assert.deepEqual(simulation.startedRequestIds, ["r2", "r3"]);
    checkAll(simulation);
});

// Reads of the store lag behind its writes. A stale copy of the document lacks the claim, and a gateway that used it
// would not record the end: the deposit's key would stay claimed for a day.
test("a stale read does not prevent a gateway from recording the end of a request", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "warm", key: "w", gateway: 0 });
    simulation.clock.runUntil(200);
    simulation.resolveStoreOutcome = (_client, nowMs) => nowMs < 400 ? { type: "stale", asOfMs: 200 } : answered;
    simulation.sendAt(210, { requestId: "r1", key: "k", gateway: 0, server: "sheds" });
    simulation.sendAt(800, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(2_000);
    assert.deepEqual(simulation.startedRequestIds, ["warm", "r2"]);
    checkAll(simulation);
});

test("a different request with a claimed key is refused as a key mismatch", () => {
    const simulation = new ClaimSimulation([0, 0]);
    simulation.sendAt(10, { requestId: "r1", key: "k", gateway: 0 });
    simulation.sendAt(500, { requestId: "r2", key: "k", gateway: 1, fingerprint: "other" });
    simulation.clock.runUntil(2_000);
    assert.equal(simulation.results.get("r2")?.kind, "idempotencyKeyMismatch");
    checkAll(simulation);
});

// One gateway's clock is almost one bucket ahead. It claims a key in the new bucket after checking the old one; the
// other gateway, still in the old bucket, claims the same key there. Without the seal, both claims succeed.
test("a gateway whose clock is behind can't claim in a bucket that others have sealed", () => {
    const simulation = new ClaimSimulation([900, 0]);
    simulation.sendAt(10, { requestId: "w1", key: "w", gateway: 1 });
    simulation.clock.runUntil(150);
    simulation.sendAt(200, { requestId: "r1", key: "k", gateway: 0 });
    simulation.sendAt(400, { requestId: "r2", key: "k", gateway: 1 });
    simulation.clock.runUntil(2_000);
    assert.deepEqual(simulation.startedRequestIds, ["w1", "r1"]);
    checkAll(simulation);
});

// A burst of returns arrives while a write is in flight. A write for each claim would delay the claims of all other
// callers, since the store accepts a few hundred writes a second from the whole fleet.
test("claims that arrive during a write are batched into the next one", () => {
    const simulation = new ClaimSimulation([0], { ...simulationLimits, shardCount: 1 });
    simulation.sendAt(10, { requestId: "first", key: "first", gateway: 0 });
    simulation.clock.runUntil(300);
    const before = simulation.swapCount;
    for (let i = 0; i < 100; i++) {
        simulation.sendAt(301, { requestId: `r${i}`, key: `k${i}`, gateway: 0 });
    }
    simulation.clock.runUntil(304);
    assert.equal(simulation.swapCount - before, 1);
    simulation.clock.runUntil(900);
    assert.equal(simulation.startedRequestIds.length, 101);
    checkAll(simulation);
});

// Returns arrive at both gateways alternately, so each one's cached document is always stale. A write based on the
// cached revision fails and is repeated: three writes for each return instead of two, and the store's write rate is
// limited.
test("a stale cached document is read again before it is written", () => {
    const simulation = new ClaimSimulation([0, 0], { ...simulationLimits, shardCount: 1, bucketMs: 1_000_000 });
    simulation.sendAt(10, { requestId: "first", key: "first", gateway: 0 });
    simulation.sendAt(200, { requestId: "second", key: "second", gateway: 1 });
    simulation.clock.runUntil(400);
    const before = simulation.swapCount;
    for (let i = 0; i < 10; i++) {
        simulation.sendAt(400 + i * 100, { requestId: `r${i}`, key: `k${i}`, gateway: i % 2 });
    }
    simulation.clock.runUntil(1_500);
    assert.equal(simulation.startedRequestIds.length, 12);
    assert.equal(simulation.swapCount - before, 20);
});

test("a full document refuses new keys and still records ends", () => {
    const simulation = new ClaimSimulation([0], { ...simulationLimits, shardCount: 1, maxDocumentLength: 400 });
    for (let i = 0; i < 10; i++) {
        simulation.sendAt(10 + i * 60, { requestId: `r${i}`, key: `k${i}`, gateway: 0 });
    }
    simulation.clock.runUntil(900);
    const kinds = [...simulation.results.values()].map(result => result.kind);
    assert.ok(kinds.includes("answered") && kinds.includes("overloaded"), kinds.join());
    checkAll(simulation);
});

const keys = ["a", "b", "c"];

const attemptArbitrary = fc.record({
    atMs: fc.integer({ min: 0, max: 2_500 }),
    key: fc.constantFrom(...keys),
    gateway: fc.nat(2),
    server: fc.constantFrom<ServerBehavior>("answers", "answers", "sheds", "closesBeforeRunning", "closesWhileRunning"),
    pauseMs: fc.constantFrom(0, 0, 0, 40, 400),
    patienceMs: fc.constantFrom(30, 300, 1_000),
});

function drawOutcome(draw: number, nowMs: number): SimulatedStoreOutcome {
    if (draw > 0.9) {
        return { type: "stale", asOfMs: nowMs - (draw - 0.9) * 10_000 };
    }

    if (draw < 0.08) {
        return answerLost;
    }
    if (draw < 0.16) {
        return requestLost;
    }
    return draw < 0.24 ? { type: "late", outMs: 50 + draw * 4_000, timeoutMs: 100 } : answered;
}

// Combines the faults of callers, gateways, clocks and the store that the tests above cover one at a time.
test("no interleaving runs a key twice or reports a wrong outcome to a caller", () => {
    const run = (
        attempts: readonly (Omit<SimulatedAttempt, "requestId"> & { readonly atMs: number; })[],
        seed: number,
    ): void => {
        const random = createRandomSource(seed);
        const simulation = new ClaimSimulation([0, 1_800, 900], { ...simulationLimits, bucketMs: 2_000 }, seed);
        simulation.resolveStoreOutcome = (_client, nowMs) =>
            nowMs > 3_000 ? answered : drawOutcome(random.next(), nowMs);
        for (const [i, attempt] of attempts.entries()) {
            simulation.sendAt(attempt.atMs, { ...attempt, requestId: `r${i}` });
        }
        const crashes = seed % 3 === 0;
        if (crashes) {
            simulation.killAt(1_200, 2);
        }
        for (const key of keys) {
            simulation.sendAt(4_600, { requestId: `last-${key}`, key, gateway: 0 });
        }
        simulation.clock.runUntil(6_000);
        checkAll(simulation);
        for (const [i, attempt] of attempts.entries()) {
            const isCrashed = crashes && attempt.gateway === 2;
            assert.ok(isCrashed || simulation.results.has(`r${i}`), `r${i} has no result`);
        }
        for (const key of keys) {
            // A key that stays claimed although none of its requests can have run is a lost return. A crashed gateway
            // may not have recorded that its attempt did not run, so the outcome of its claims stays unknown.
            const mayBeClaimed = attempts.some((attempt, i) => {
                const isCrashed = crashes && attempt.gateway === 2;
                return attempt.key === key && (isCrashed || simulation.results.get(`r${i}`)?.didRun !== "no");
            });
            assert.ok(
                mayBeClaimed || simulation.results.get(`last-${key}`)?.kind === "answered",
                `${key} stays claimed`,
            );
        }
    };
    fc.assert(
        fc.property(fc.array(attemptArbitrary, { minLength: 2, maxLength: 12 }), fc.nat(1_000_000), run),
        { numRuns: 1_500, seed: 7 },
    );
});
