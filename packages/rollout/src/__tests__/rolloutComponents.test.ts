import { createRandomSource } from "@galenaglade/routing";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    EvidencePool,
    classifyOutcome,
    nextRolloutStep,
    type RolloutInput,
    SequentialRatioTest,
    TrialAllowance,
} from "../index.js";

// Guards against exceeding the exposure of the fleet, whatever its size: each gateway limits only its own share.
test("trials of all gateways stay below a tenth of the requests and start without delay in large fleets", () => {
    const fleet = fc.record({
        seed: fc.integer({ min: 1, max: 1_000_000 }),
        gateways: fc.integer({ min: 1, max: 400 }),
        requests: fc.integer({ min: 100, max: 6_000 }),
    });
    fc.assert(
        fc.property(fleet, ({ seed, gateways, requests }) => {
            const random = createRandomSource(seed);
            const allowances = Array.from({ length: gateways }, () => new TrialAllowance(0.1, random));
            let trials = 0;
            for (let sent = 1; sent <= requests; sent++) {
                const allowance = allowances[random.nextInt(gateways)];
                allowance?.onSend();
                if (allowance?.hasCredit === true) {
                    allowance.onTrial();
                    trials++;
                }
                assert.ok(trials <= sent * 0.1 + 50, `${trials} of ${sent}`);
            }
            assert.ok(trials >= requests * 0.07 * 0.4 - gateways * 0.1, `${trials} of ${requests}`);
        }),
        { numRuns: 200, seed: 3 },
    );
});

test("unused trial credit does not accumulate into a burst", () => {
    const allowance = new TrialAllowance(0.1, createRandomSource(1));
    for (let i = 0; i < 1_000; i++) {
        allowance.onSend();
    }
    let trials = 0;
    for (; allowance.hasCredit; trials++) {
        allowance.onTrial();
    }
    assert.equal(trials, 2);
});

const answered = {
    end: { type: "answered", status: 200 },
    tookMs: 100,
    typicalMs: 100,
    factor: 1,
    beaten: false,
} as const;

test("only outcomes that a version can cause count against it", () => {
    const cases = [
        [answered, false],
        [{ ...answered, end: { type: "answered", status: 404 } }, false],
        [{ ...answered, end: { type: "answered", status: 500 } }, true],
        [{ ...answered, end: { type: "unknown", reason: "notSigned" } }, true],
        [{ ...answered, tookMs: 260 }, true],
        // Responses are expected to take longer on a busy server.
        [{ ...answered, tookMs: 260, factor: 1.7 }, false],
        [{ ...answered, end: { type: "abandoned" } }, undefined],
        [{ ...answered, end: { type: "abandoned" }, beaten: true }, true],
        [{ ...answered, end: { type: "abandoned" }, tookMs: 900 }, true],
        [{ ...answered, end: { type: "notRun", reason: "turnedAway" } }, undefined],
        [{ ...answered, end: { type: "notRun", reason: "connectFailed" } }, undefined],
    ] as const;
    for (const [outcome, bad] of cases) {
        assert.equal(classifyOutcome(outcome), bad, JSON.stringify(outcome));
    }
});

// Guards against rejecting a version because of one faulty host.
test("bad responses of a single server do not reject a version whose other servers respond well", () => {
    const versionTest = new SequentialRatioTest();
    const verdict = versionTest.evaluate([{
        route: "tables",
        stable: { sends: 1_000, bad: 5 },
        trial: [{ server: "a", sends: 30, bad: 30 }, { server: "b", sends: 30, bad: 0 }],
    }]);
    assert.equal(verdict.type, "open");
});

test("a version is rejected for its excess of bad responses over the old version, not for a shared fault", () => {
    const versionTest = new SequentialRatioTest();
    const trial = [{ server: "a", sends: 30, bad: 12 }, { server: "b", sends: 20, bad: 8 }];
    const routes = [{ route: "tables", stable: { sends: 1_000, bad: 5 }, trial }];
    assert.equal(versionTest.evaluate(routes).type, "bad");
    const shared = new SequentialRatioTest();
    assert.notEqual(shared.evaluate([{ route: "tables", stable: { sends: 1_000, bad: 400 }, trial }]).type, "bad");
});

test("a duplicate report counts once, and each incarnation of a gateway counts", () => {
    const pool = new EvidencePool();
    const routes = [{ route: "tables", stable: { sends: 2, bad: 0 }, trial: [{ server: "a", sends: 3, bad: 1 }] }];
    const report = { gateway: "g", life: "1", service: "tables", version: "v2", settled: false, routes };
    pool.add(report);
    pool.add(report);
    pool.add({ ...report, life: "2", settled: true });
    assert.deepEqual(pool.totals, [{
        route: "tables",
        stable: { sends: 4, bad: 0 },
        trial: [{ server: "a", sends: 6, bad: 2 }],
    }]);
    assert.deepEqual([...pool.settled], ["g"]);
});

const sound = { type: "sound", route: "tables", logOdds: -8, trialSends: 100, trialBad: 1, stableShare: 0.02 } as const;

const input: RolloutInput = {
    plan: {
        service: "tables",
        order: { service: "tables", version: "v2", allowedMs: 10_000 },
        status: { service: "tables", version: "v2", stage: "trial", startedAtEpochMs: 0, rejectedVersions: [] },
        statusRevision: 3,
    },
    verdict: sound,
    sinceOrderMs: 5_000,
    sinceStageMs: 2_000,
    sendsSinceStage: 60,
    capacity: 1,
    registered: 10,
    settled: 10,
    epochMs: 0,
};

function withStage(
    stage: "trial" | "widened" | "shifted" | "completed" | "rolledBack",
    more: Partial<RolloutInput> = {},
) {
    const { status } = input.plan;
    assert.ok(status !== undefined);
    return nextRolloutStep({ ...input, ...more, plan: { ...input.plan, status: { ...status, stage } } });
}

test("a stage is left only when its conditions are met", () => {
    assert.equal(withStage("trial")?.status.stage, "widened");
    assert.equal(withStage("trial", { sinceOrderMs: 2_000 }), undefined);
    assert.equal(withStage("trial", { capacity: 0.3 }), undefined);
    assert.equal(withStage("trial", { verdict: { ...sound, type: "open" } }), undefined);
    assert.equal(withStage("widened")?.status.stage, "shifted");
    assert.equal(withStage("widened", { sendsSinceStage: 3 }), undefined);
    assert.equal(withStage("shifted")?.status.stage, "completed");
    assert.equal(withStage("shifted", { settled: 9 }), undefined);
    assert.equal(withStage("shifted", { settled: 9, sinceOrderMs: 8_500 })?.status.stage, "completed");
    assert.equal(withStage("shifted", { settled: 0, registered: 0 }), undefined);
});

test("bad responses, a timeout or a withdrawn order roll back every stage that is not final", () => {
    for (const stage of ["trial", "widened", "shifted"] as const) {
        const bad = withStage(stage, { verdict: { ...sound, type: "bad" } });
        assert.deepEqual([bad?.status.stage, bad?.status.rejectedVersions, bad?.reason], [
            "rolledBack",
            ["v2"],
            "badAnswers",
        ]);
        assert.equal(withStage(stage, { sinceOrderMs: 9_500, settled: 0 })?.reason, "timeIsOver");
    }
    for (const stage of ["completed", "rolledBack"] as const) {
        assert.equal(withStage(stage, { verdict: { ...sound, type: "bad" } }), undefined);
    }
    const { plan } = input;
    assert.equal(nextRolloutStep({ ...input, plan: { ...plan, order: undefined } })?.reason, "orderWithdrawn");
});

test("a new order rejects the unproved version that it replaces, and a rejected version gets no second trial", () => {
    const { plan } = input;
    const newOrder = { service: "tables", version: "v3", allowedMs: 10_000 };
    const next = nextRolloutStep({ ...input, plan: { ...plan, order: newOrder } });
    assert.deepEqual([next?.status.version, next?.status.stage, next?.status.rejectedVersions], ["v3", "trial", [
        "v2",
    ]]);
    const status = {
        service: "tables",
        version: "v3",
        stage: "completed",
        startedAtEpochMs: 0,
        rejectedVersions: ["v2"],
    } as const;
    const again = nextRolloutStep({ ...input, plan: { ...plan, status } });
    assert.deepEqual([again?.status.stage, again?.reason], ["rolledBack", "rejectedBefore"]);
});
