import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplayFleet, type ReplayInput, type TestServerShape, defaultShape } from "./support/replay.js";

/** Length of a replay in multiples of the work time, so that all shapes get about the same number of requests. */
const replayLengthInWorkTimes = 80;
/** Offered load as a share of the servers' capacity. */
const loadShare = 0.6;
/** Maximum loss against random placement where nothing can be gained, as a share of the requests. */
const tolerance = 0.03;

interface Case {
    readonly label: string;
    readonly servers: number;
    readonly shape: Partial<TestServerShape>;
}

const cases: readonly Case[] = [
    { label: "2 slots", servers: 12, shape: { slots: 2 } },
    { label: "6 slots", servers: 12, shape: { slots: 6 } },
    { label: "16 slots", servers: 12, shape: { slots: 16 } },
    { label: "work of 5 ms", servers: 12, shape: { workMs: 5 } },
    { label: "work of 1 s", servers: 12, shape: { workMs: 1_000 } },
    { label: "3 servers", servers: 3, shape: {} },
    { label: "60 servers", servers: 60, shape: {} },
    { label: "200 servers", servers: 200, shape: {} },
    { label: "no noise", servers: 12, shape: { slowShare: 0 } },
    { label: "mild noise", servers: 12, shape: { slowFactor: 1.5 } },
    { label: "strong noise", servers: 12, shape: { slowFactor: 8 } },
    { label: "fast noise", servers: 12, shape: { shiftMs: 40 } },
    { label: "slow noise", servers: 12, shape: { shiftMs: 5_000 } },
];

function createInput({ servers, shape }: Case): ReplayInput {
    const { slots, workMs, slowShare, slowFactor } = { ...defaultShape, ...shape };
    const perSlot = (1 - slowShare + slowShare / slowFactor) / workMs * 1_000;
    const perSecond = servers * slots * perSlot * loadShare;
    return { seed: 11, gateways: 15, servers, forMs: replayLengthInWorkTimes * workMs, load: () => perSecond, shape };
}

// Guards against a policy that fits only some services: with few or many slots and servers, short or long work, and
// absent, mild, strong, fast or slow noise, it must never do harm, and has to gain wherever noise can be avoided.
for (const testCase of cases) {
    test(`${testCase.label}: deciding is no worse than sending anywhere, and better where servers differ`, () => {
        const input = createInput(testCase);
        const toMs = input.forMs * 0.9;
        const probing = new ReplayFleet(input).run();
        const baseline = new ReplayFleet({ ...input, randomPlacement: true }).run();
        const probingShare = probing.shareInTime(0, toMs);
        const baselineShare = baseline.shareInTime(0, toMs);
        assert.ok(
            probingShare > baselineShare - tolerance,
            `${probingShare} in time, ${baselineShare} with random placement`,
        );
        if ((testCase.shape.slowFactor ?? defaultShape.slowFactor) > 2 && testCase.shape.slowShare !== 0) {
            assert.ok(
                probingShare > baselineShare + tolerance,
                `${probingShare} in time, ${baselineShare} with random placement`,
            );
        }
    });
}
