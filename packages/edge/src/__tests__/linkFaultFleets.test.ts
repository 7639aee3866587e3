import { checkPartitionedGateways, type Violation } from "@galenaglade/history";
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
const bounds = { settleMs: 3_000, minRelativeShare: 2 / 3, allowedFailures: 10, allowedFailureShare: 1 / 50 };
/** Time limits to detect a link fault, from its start, and that it is over, from its end, in milliseconds. */
const detectionLimitMs = 3_000;
const recoveryLimitMs = 8_000;
const warmUpMs = 1_500;
const sampleMs = 50;

/** Result of one simulation. */
interface SimulationResult {
    readonly violations: readonly Violation[];
    /** Number of samples in which a gateway's state was wrong after the time to detect a change, and of all samples. */
    readonly wrongSamples: number;
    readonly totalSamples: number;
    readonly handedOver: number;
}

interface LinkFaultScenario {
    readonly gateways: readonly SimulatedReachGateway[];
    readonly durationMs: number;
    readonly flapIntervalMs: number | undefined;
}

/** Draws the gateways to cut off: one, some, a whole availability zone, most or all. */
function drawLinkFault(fleet: SimulatedReachFleet, random: RandomSource): LinkFaultScenario {
    const { gateways, size } = fleet;
    const kind = Math.floor(random.next() * 5);
    const share = [1 / gateways.length, 0.3, 0, 0.8, 1][kind] ?? 1;
    const zone = Math.floor(random.next() * size.zones);
    const chosen = kind === 2
        ? gateways.filter((_, i) => i % size.zones === zone)
        : gateways.filter((_, i) => random.next() < share || i === 0);
    return {
        gateways: chosen,
        durationMs: 4_000 + random.next() * 4_000,
        flapIntervalMs: random.next() < 0.15 ? 300 + random.next() * 1_200 : undefined,
    };
}

async function simulate(clock: VirtualClock, seed: number, size: SimulatedReachFleetSize): Promise<SimulationResult> {
    const random = createRandomSource(seed);
    const fleet = new SimulatedReachFleet(clock, random, size);
    fleet.start();
    await clock.advance(warmUpMs + random.next() * 500);
    const fault = linkFaults[Math.floor(random.next() * linkFaults.length)] ?? "hang";
    const { gateways, durationMs, flapIntervalMs } = drawLinkFault(fleet, random);
    const crashing = fleet.gateways.filter(() => random.next() < 0.1);
    const deadServers = Math.floor(random.next() * random.next() * size.servers * 0.4);
    setTimeout(() => crashing.forEach(gateway => (gateway.isDead = true)), random.next() * durationMs);
    setTimeout(() => crashing.forEach(gateway => (gateway.isDead = false)), durationMs * (1 + random.next()));
    setTimeout(() => {
        for (let i = 0; i < deadServers; i++) {
            fleet.deadServers.add(`server-${i}`);
        }
    }, random.next() * durationMs);
    const startMs = clock.monotonicMs();
    const endMs = startMs + durationMs;
    gateways.forEach(gateway => fleet.cut(gateway, fault));
    if (flapIntervalMs !== undefined) {
        const flap = (): void => {
            if (clock.monotonicMs() < endMs) {
                gateways.forEach(gateway => (gateway.fault = gateway.fault === undefined ? fault : undefined));
                setTimeout(flap, flapIntervalMs);
            }
        };
        setTimeout(flap, flapIntervalMs);
    }
    let wrong = 0;
    let samples = 0;
    const hasHealthyGateway = fleet.gateways.some(gateway =>
        !gateways.includes(gateway) && !crashing.includes(gateway)
    );
    while (clock.monotonicMs() < endMs + recoveryLimitMs + 1_000) {
        await clock.advance(sampleMs);
        const nowMs = clock.monotonicMs();
        if (nowMs >= endMs && nowMs < endMs + sampleMs) {
            gateways.forEach(gateway => fleet.restore(gateway));
        }
        for (const gateway of flapIntervalMs === undefined ? fleet.gateways : []) {
            const isCut = gateways.includes(gateway) && nowMs < endMs;
            const state = gateway.reachability.stateOf("tables");
            const mustDetectFault = isCut && hasHealthyGateway && nowMs > startMs + detectionLimitMs;
            const mustDetectRecovery = !isCut && (!gateways.includes(gateway) || nowMs > endMs + recoveryLimitMs);
            samples++;
            wrong += (mustDetectFault && state === "reached" && fault !== "refuseNew")
                    || (mustDetectRecovery && state === "lost")
                ? 1
                : 0;
        }
    }
    fleet.stop();
    await clock.advance(3_000);
    const violations = hasHealthyGateway ? checkPartitionedGateways(fleet.history, bounds) : [];
    clock.clear();
    return { violations, wrongSamples: wrong, totalSamples: samples, handedOver: fleet.handoverCount };
}

const small: SimulatedReachFleetSize = { gateways: 15, zones: 3, servers: 12, requestsPerSecond: 6, peersAnswer: true };
const simulationCount = Number(process.env["CUT_WORLDS"] ?? 120);

// Guards against a gateway that refuses its callers, or hands requests to others needlessly, by a wrong reach state.
test("callers of cut-off gateways are served for randomly drawn gateways, link faults and durations", async t => {
    const clock = VirtualClock.install(t);
    const random = createRandomSource(7);
    let wrong = 0;
    let samples = 0;
    let handedOver = 0;
    for (let seed = 1; seed <= simulationCount; seed++) {
        const gateways = 1 + Math.floor(random.next() * 15);
        const size = { ...small, gateways, zones: Math.min(3, gateways), servers: 3 + Math.floor(random.next() * 12) };
        const result = await simulate(clock, seed, size);
        assert.deepEqual(result.violations, [], `seed ${seed}`);
        wrong += result.wrongSamples;
        samples += result.totalSamples;
        handedOver += result.handedOver;
    }
    assert.ok(handedOver > simulationCount, `${handedOver} requests handed over`);
    assert.ok(wrong <= samples / 100, `${wrong} of ${samples} samples are wrong`);
});

// Guards against cut-off gateways in a large fleet that don't find the few others which still reach the servers.
for (const [gateways, seeds] of [[131, 4], [312, 2]] as const) {
    test(`callers of cut-off gateways are served in a fleet of ${gateways}`, async t => {
        const clock = VirtualClock.install(t);
        for (let seed = 1; seed <= seeds; seed++) {
            const size = { ...small, gateways, servers: 60, requestsPerSecond: 3 };
            const { violations } = await simulate(clock, seed, size);
            assert.deepEqual(violations, [], `seed ${seed}`);
        }
    });
}

// Guards against a check that can't fail: without gateways' responses to each other, simulations violate the bounds.
test("callers of cut-off gateways are not served if gateways don't respond to each other", async t => {
    const clock = VirtualClock.install(t);
    let violationCount = 0;
    for (let seed = 1; seed <= 20; seed++) {
        const { violations } = await simulate(clock, seed, { ...small, peersAnswer: false });
        violationCount += violations.length;
    }
    assert.ok(violationCount >= 5, `${violationCount} violations in 20 simulations`);
});
