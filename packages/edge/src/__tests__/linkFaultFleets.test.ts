import { checkCutGateways, type Violation } from "@galenaglade/history";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { linkFaults } from "./support/faultyLinks.js";
import {
    SimulatedReachFleet,
    type SimulatedReachFleetSize,
    type SimulatedReachGateway,
} from "./support/simulatedReachFleet.js";
import { VirtualClock } from "./support/virtualClock.js";

/** Bounds that the users' platform requires. */
const bounds = { settleMs: 3_000, leastRelativeShare: 2 / 3, allowedFailures: 10, allowedFailureShare: 1 / 50 };
/** Time limits to detect a link fault, from its start, and that it is over, from its end, in milliseconds. */
const knownWithinMs = 3_000;
const regainedWithinMs = 8_000;
const calmMs = 1_500;
const sampleMs = 50;

/** Result of one simulation. */
interface Run {
    readonly violations: readonly Violation[];
    /** Number of samples in which a gateway's state was wrong after the time to detect a change, and of all samples. */
    readonly wrong: number;
    readonly samples: number;
    readonly handedOver: number;
}

interface Cut {
    readonly gateways: readonly SimulatedReachGateway[];
    readonly lengthMs: number;
    readonly flapMs: number | undefined;
}

/** Draws the gateways to cut off: one, some, a whole availability zone, most or all. */
function drawCut(fleet: SimulatedReachFleet, random: RandomSource): Cut {
    const { gateways, size } = fleet;
    const kind = Math.floor(random.next() * 5);
    const share = [1 / gateways.length, 0.3, 0, 0.8, 1][kind] ?? 1;
    const zone = Math.floor(random.next() * size.zones);
    const chosen = kind === 2
        ? gateways.filter((_, i) => i % size.zones === zone)
        : gateways.filter((_, i) => random.next() < share || i === 0);
    return {
        gateways: chosen,
        lengthMs: 4_000 + random.next() * 4_000,
        flapMs: random.next() < 0.15 ? 300 + random.next() * 1_200 : undefined,
    };
}

async function run(time: VirtualClock, seed: number, size: SimulatedReachFleetSize): Promise<Run> {
    const random = createRandomSource(seed);
    const fleet = new SimulatedReachFleet(time, random, size);
    fleet.start();
    await time.advance(calmMs + random.next() * 500);
    const manner = linkFaults[Math.floor(random.next() * linkFaults.length)] ?? "hang";
    const { gateways, lengthMs, flapMs } = drawCut(fleet, random);
    const dies = fleet.gateways.filter(() => random.next() < 0.1);
    const deadServers = Math.floor(random.next() * random.next() * size.servers * 0.4);
    setTimeout(() => dies.forEach(gateway => (gateway.isDead = true)), random.next() * lengthMs);
    setTimeout(() => dies.forEach(gateway => (gateway.isDead = false)), lengthMs * (1 + random.next()));
    setTimeout(() => {
        for (let i = 0; i < deadServers; i++) {
            fleet.deadServers.add(`server-${i}`);
        }
    }, random.next() * lengthMs);
    const beganAtMs = time.monotonicMs();
    const endsAtMs = beganAtMs + lengthMs;
    gateways.forEach(gateway => fleet.cut(gateway, manner));
    if (flapMs !== undefined) {
        const flap = (): void => {
            if (time.monotonicMs() < endsAtMs) {
                gateways.forEach(gateway => (gateway.fault = gateway.fault === undefined ? manner : undefined));
                setTimeout(flap, flapMs);
            }
        };
        setTimeout(flap, flapMs);
    }
    let wrong = 0;
    let samples = 0;
    const canBeHelped = fleet.gateways.some(gateway => !gateways.includes(gateway) && !dies.includes(gateway));
    while (time.monotonicMs() < endsAtMs + regainedWithinMs + 1_000) {
        await time.advance(sampleMs);
        const nowMs = time.monotonicMs();
        if (nowMs >= endsAtMs && nowMs < endsAtMs + sampleMs) {
            gateways.forEach(gateway => fleet.restore(gateway));
        }
        for (const gateway of flapMs === undefined ? fleet.gateways : []) {
            const isCut = gateways.includes(gateway) && nowMs < endsAtMs;
            const state = gateway.reach.stateOf("tables");
            const mustKnowCut = isCut && canBeHelped && nowMs > beganAtMs + knownWithinMs;
            const mustKnowWell = !isCut && (!gateways.includes(gateway) || nowMs > endsAtMs + regainedWithinMs);
            samples++;
            wrong +=
                (mustKnowCut && state === "reached" && manner !== "refuseNew") || (mustKnowWell && state === "lost")
                    ? 1
                    : 0;
        }
    }
    fleet.stop();
    await time.advance(3_000);
    const violations = canBeHelped ? checkCutGateways(fleet.history, bounds) : [];
    time.clear();
    return { violations, wrong, samples, handedOver: fleet.handoverCount };
}

const small: SimulatedReachFleetSize = { gateways: 15, zones: 3, servers: 12, requestsPerSecond: 6, peersAnswer: true };
const worlds = Number(process.env["CUT_WORLDS"] ?? 120);

// Guards against a gateway that refuses its callers, or hands requests to others needlessly, by a wrong reach state.
test("callers of cut-off gateways are served for all combinations of gateways, link faults and durations", async t => {
    const time = VirtualClock.install(t);
    const random = createRandomSource(7);
    let wrong = 0;
    let samples = 0;
    let handedOver = 0;
    for (let seed = 1; seed <= worlds; seed++) {
        const gateways = 1 + Math.floor(random.next() * 15);
        const size = { ...small, gateways, zones: Math.min(3, gateways), servers: 3 + Math.floor(random.next() * 12) };
        const ended = await run(time, seed, size);
        assert.deepEqual(ended.violations, [], `seed ${seed}`);
        wrong += ended.wrong;
        samples += ended.samples;
        handedOver += ended.handedOver;
    }
    assert.ok(handedOver > worlds, `${handedOver} requests handed over`);
    assert.ok(wrong <= samples / 100, `${wrong} of ${samples} samples are wrong`);
});

// Guards against cut-off gateways in a large fleet that don't find the few others which still reach the servers.
for (const [gateways, seeds] of [[131, 4], [312, 2]] as const) {
    test(`callers of cut-off gateways are served in a fleet of ${gateways}`, async t => {
        const time = VirtualClock.install(t);
        for (let seed = 1; seed <= seeds; seed++) {
            const size = { ...small, gateways, servers: 60, requestsPerSecond: 3 };
            const { violations } = await run(time, seed, size);
            assert.deepEqual(violations, [], `seed ${seed}`);
        }
    });
}

// Guards against a check that can't fail: without gateways' responses to each other, simulations violate the bounds.
test("callers of cut-off gateways are not served if gateways don't respond to each other", async t => {
    const time = VirtualClock.install(t);
    let broken = 0;
    for (let seed = 1; seed <= 20; seed++) {
        const { violations } = await run(time, seed, { ...small, peersAnswer: false });
        broken += violations.length;
    }
    assert.ok(broken >= 5, `${broken} violations in 20 simulations`);
});
