import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { isStateFresh } from "../state/isStateFresh.js";
import { SimulatedFleet, type SimulatedGateway } from "./support/simulatedGateways.js";
import { createConfiguration } from "./support/testEdge.js";
import { type StoreFault, FaultyStore } from "./support/faultyStore.js";
import { VirtualClock } from "./support/virtualClock.js";

/** Time limit of the users' platform, from the store's response to the operator, in milliseconds. */
const inForceWithinMs = 2_000;
const settleMs = 8_000;
const maxOutageMs = 15_000;
/** Time after a recovery in which calls are counted, in milliseconds. */
const recoveryWindowMs = 2_000;
/** Time to wait for a version that is late, in milliseconds. */
const afterMs = 6_000;
/** The store's rate limits. */
const readsPerSecond = 2_000;
const writesPerSecond = 400;

const storeFaults: readonly StoreFault[] = ["silent", "reset", "busy", "refusing", "slow"];
const relayFaults = ["none", "none", "dies", "cutOff", "returns"] as const;

interface Outage {
    /** Time until it begins, in milliseconds. */
    readonly calmBeforeMs: number;
    readonly fault: StoreFault | "watchesSilent";
    readonly durationMs: number;
    readonly expiresLeases: boolean;
    readonly losesHistory: boolean;
    /** Fault of one relay at the recovery of the store. */
    readonly relayFault: typeof relayFaults[number];
    readonly versions: number;
    readonly acknowledgedAfterMs: number;
    /** Time after the recovery in which stale reads return the revision from before the outage, in milliseconds. */
    readonly staleMs?: number;
}

/** Interval between samples of whether each gateway would deny an unknown route, in milliseconds. */
const sampleMs = 50;

function draw<T>(random: RandomSource, values: readonly T[]): T {
    return values[Math.floor(random.next() * values.length)] as T;
}

function drawOutage(random: RandomSource): Outage {
    const fault = draw(random, [...storeFaults, "silent", "watchesSilent"] as const);
    return {
        fault,
        calmBeforeMs: 2_000 + random.next() * 6_000,
        durationMs: random.next() < 0.3 ? random.next() * 1_000 : random.next() * maxOutageMs,
        expiresLeases: random.next() < 0.2,
        losesHistory: random.next() < 0.1,
        relayFault: draw(random, relayFaults),
        versions: 1 + Math.floor(random.next() * 5),
        acknowledgedAfterMs: random.next() < 0.5 ? 0 : random.next() * 3_000,
    };
}

interface OutageResult {
    readonly maxDelayMs: number;
    readonly gateway: SimulatedGateway | undefined;
    /** Number of calls in the time {@link recoveryWindowMs} after the recovery. */
    readonly reads: number;
    readonly writes: number;
    /** Cost of the calls during the outage, as the store charges them. */
    readonly outageCost: number;
    /** Cost of the calls from the start of the outage until some seconds after the recovery. */
    readonly totalCost: number;
    readonly wrongDenials: number;
}

/** Simulated fleet with a store that has repeated outages. */
class OutageSimulation {
    readonly #clock: VirtualClock;
    readonly #store: FaultyStore;
    readonly #fleet: SimulatedFleet;
    #version = 1;

    constructor(
        clock: VirtualClock,
        random: RandomSource,
        size: { readonly gateways: number; readonly zones: number; },
    ) {
        this.#clock = clock;
        this.#store = new FaultyStore(clock, random);
        this.#putVersion(1);
        this.#fleet = new SimulatedFleet(clock, this.#store, random, size);
        for (const gateway of this.#fleet.gateways) {
            setTimeout(() => gateway.start(), random.next() * 300);
        }
    }

    /** @returns how late the last healthy gateway had the new version in force, and the calls of the store */
    async run(outage: Outage): Promise<OutageResult> {
        const store = this.#store;
        await this.#clock.advance(outage.calmBeforeMs);
        const relay = this.#findRelay();
        const costBefore = store.calls.cost;
        const revision = store.engine.revision;
        const outageCost = await this.#simulateOutage(outage, relay);
        if (outage.staleMs !== undefined) {
            store.pinnedReadRevision = revision;
            setTimeout(() => store.pinnedReadRevision = undefined, outage.staleMs);
        }
        if (outage.losesHistory) {
            store.compactRevision = store.engine.revision;
        }
        store.endFault(outage.expiresLeases);
        if (outage.relayFault === "dies") {
            relay?.powerOff();
        }
        if (relay !== undefined) {
            relay.link.isCut = outage.relayFault === "cutOff";
        }
        const recoveredAtMs = this.#clock.monotonicMs();
        const { reads, writes } = store.calls;
        await this.#clock.advance(outage.acknowledgedAfterMs);
        const ackedAtMs = this.#clock.monotonicMs();
        for (let i = 0; i < outage.versions; i++) {
            this.#putVersion(this.#version + 1);
        }
        await this.#clock.advance(Math.max(0, recoveredAtMs + recoveryWindowMs - ackedAtMs));
        const recoveryCalls = { reads: store.calls.reads - reads, writes: store.calls.writes - writes, outageCost };
        const wrongDenials = await this.#countWrongDenials(ackedAtMs);
        const totalCost = store.calls.cost - costBefore;
        const result = { ...this.#findLatest(ackedAtMs), ...recoveryCalls, totalCost, wrongDenials };
        if (relay !== undefined) {
            relay.link.isCut = false;
        }
        return result;
    }

    stop(): void {
        this.#fleet.stop();
        this.#clock.clear();
    }

    /** @returns how often a gateway would have denied a route of a version that has to be in force but isn't */
    async #countWrongDenials(ackedAtMs: number): Promise<number> {
        let wrong = 0;
        const untilMs = this.#clock.monotonicMs() + afterMs;
        for (let nowMs = this.#clock.monotonicMs(); nowMs < untilMs; nowMs = this.#clock.monotonicMs()) {
            for (const { isDead, view, inForceAtMs } of this.#fleet.gateways) {
                const isLate = nowMs > ackedAtMs + inForceWithinMs && !inForceAtMs.has(this.#version);
                wrong += !isDead && isLate && isStateFresh(view, nowMs) ? 1 : 0;
            }
            await this.#clock.advance(sampleMs);
        }
        return wrong;
    }

    /** Simulates the outage up to the recovery. @returns the cost of the calls in that time */
    async #simulateOutage(
        { fault, relayFault, durationMs }: Outage,
        relay: SimulatedGateway | undefined,
    ): Promise<number> {
        if (fault === "watchesSilent") {
            this.#store.silenceWatches();
        }
        else {
            this.#store.startFault(fault);
        }
        if (relayFault === "returns" && relay !== undefined) {
            relay.link.isCut = true;
        }
        const { cost } = this.#store.calls;
        await this.#clock.advance(durationMs);
        return this.#store.calls.cost - cost;
    }

    /** @returns a gateway that relays changes to others; `undefined` if there is none */
    #findRelay(): SimulatedGateway | undefined {
        const relayNames = this.#fleet.gateways.flatMap(({ logs }) => {
            const chosen = logs.findLast(({ message }) => message === "relayChosen");
            return chosen === undefined ? [] : [chosen["peer"]];
        });
        return this.#fleet.gateways.find(({ name, isDead }) => !isDead && relayNames.includes(name));
    }

    #findLatest(ackedAtMs: number): Pick<OutageResult, "maxDelayMs" | "gateway"> {
        let latest: Pick<OutageResult, "maxDelayMs" | "gateway"> = { maxDelayMs: 0, gateway: undefined };
        for (const gateway of this.#fleet.gateways) {
            const maxDelayMs = (gateway.inForceAtMs.get(this.#version) ?? Infinity) - ackedAtMs;
            if (!gateway.isDead && !gateway.link.isCut && maxDelayMs > latest.maxDelayMs) {
                latest = { maxDelayMs, gateway };
            }
        }
        return latest;
    }

    #putVersion(version: number): void {
        this.#version = version;
        this.#store.put("configuration", createConfiguration(version));
    }
}

const sizes = [
    { gateways: 13, zones: 3, runs: 16, outageCount: 5 },
    { gateways: 131, zones: 4, runs: 1, outageCount: 4 },
    { gateways: 312, zones: 6, runs: 1, outageCount: 5 },
];
/** Factor for the number of simulations, to run more of them by hand. */
const repetitions = Number(process.env["OUTAGES"] ?? 1);

function describe({ fault, ...rest }: Outage, gateway: SimulatedGateway | undefined): string {
    const lines = gateway?.logs.filter(({ message }) => message !== "belief").slice(-10) ?? [];
    return [fault, JSON.stringify(rest), ...lines.map(line => JSON.stringify(line))].join("\n");
}

// Guards against a gateway that gets changes too late after an outage, because it still waits for a call that was lost.
for (const { runs, outageCount, ...size } of sizes) {
    test(`after any outage of the store, changes come into force in ${size.gateways} gateways in time`, async t => {
        const clock = VirtualClock.install(t);
        let overallMaxDelayMs = 0;
        let maxReads = 0;
        let outageCost = 0;
        let totalCost = 0;
        for (let run = 0; run < runs * repetitions; run++) {
            const seed = size.gateways * 10_000 + run;
            const random = createRandomSource(seed);
            const simulation = new OutageSimulation(clock, createRandomSource(seed), size);
            await clock.advance(settleMs);
            for (let i = 0; i < outageCount; i++) {
                const outage = drawOutage(random);
                const { maxDelayMs, gateway, reads, writes, ...rest } = await simulation.run(outage);
                const where = `${gateway?.name} of simulation ${run}, outage ${i}`;
                assert.ok(
                    maxDelayMs <= inForceWithinMs,
                    `${where}: ${maxDelayMs} ms after ${describe(outage, gateway)}`,
                );
                assert.ok(reads <= recoveryWindowMs / 1_000 * readsPerSecond, `${where}: ${reads} reads`);
                assert.ok(writes <= recoveryWindowMs / 1_000 * writesPerSecond, `${where}: ${writes} writes`);
                overallMaxDelayMs = Math.max(overallMaxDelayMs, maxDelayMs);
                maxReads = Math.max(maxReads, reads);
                outageCost += rest.outageCost;
                totalCost += rest.totalCost;
            }
            simulation.stop();
        }
        t.diagnostic(
            `latest after ${
                Math.round(overallMaxDelayMs)
            } ms; at most ${maxReads} reads in the ${recoveryWindowMs} ms after a recovery`,
        );
        t.diagnostic(
            `cost of calls during outages: ${Math.round(outageCost)}, including those after recoveries: ${
                Math.round(totalCost)
            }`,
        );
    });
}

// Guards against a gateway that waits once more for two dead relays after it reaches the store again.
test("a gateway waits for dead relays only once", async t => {
    const clock = VirtualClock.install(t);
    const seed = 130_365;
    const random = createRandomSource(seed);
    const simulation = new OutageSimulation(clock, createRandomSource(seed), { gateways: 13, zones: 3 });
    await clock.advance(settleMs);
    for (let i = 0; i < 5; i++) {
        const outage = drawOutage(random);
        const { maxDelayMs, gateway } = await simulation.run(outage);
        assert.ok(maxDelayMs <= inForceWithinMs, `outage ${i}: ${maxDelayMs} ms after ${describe(outage, gateway)}`);
    }
    simulation.stop();
});

// Guards against a probe or check whose stale result overrides what the gateway knows already.
test("reads that are older than the outage delay no change", async t => {
    const clock = VirtualClock.install(t);
    for (let run = 0; run < 10; run++) {
        const random = createRandomSource(run);
        const simulation = new OutageSimulation(clock, random, { gateways: 13, zones: 3 });
        await clock.advance(settleMs);
        const outage: Outage = {
            ...drawOutage(random),
            fault: "silent",
            relayFault: "none",
            losesHistory: false,
            staleMs: 5_000,
        };
        const { maxDelayMs, gateway } = await simulation.run(outage);
        assert.ok(
            maxDelayMs <= inForceWithinMs,
            `simulation ${run}: ${maxDelayMs} ms after ${describe(outage, gateway)}`,
        );
        simulation.stop();
    }
});

const staleSizes = [
    { gateways: 13, zones: 3, runs: 60, outageCount: 1 },
    { gateways: 131, zones: 4, runs: 2, outageCount: 2 },
    { gateways: 312, zones: 6, runs: 1, outageCount: 1 },
];
const maxStaleMs = 6_000;

function drawStaleOutage(random: RandomSource): Outage {
    const outage = drawOutage(random);
    const isShort = random.next() < 0.5;
    const durationMs = isShort ? random.next() * 600 : outage.durationMs;
    return { ...outage, durationMs, staleMs: random.next() * maxStaleMs };
}

// Guards against a watch on a dead connection that passes its check, because the check's read is older than the change.
for (const { runs, outageCount, ...size } of staleSizes) {
    test(`a dead watch delays no change in ${size.gateways} gateways, however stale cheap reads are`, async t => {
        const clock = VirtualClock.install(t);
        let overallMaxDelayMs = 0;
        for (let run = 0; run < runs * repetitions; run++) {
            const seed = size.gateways * 20_000 + run;
            const random = createRandomSource(seed);
            const simulation = new OutageSimulation(clock, createRandomSource(seed), size);
            await clock.advance(settleMs);
            for (let i = 0; i < outageCount; i++) {
                const outage = drawStaleOutage(random);
                const { maxDelayMs, gateway } = await simulation.run(outage);
                const where = `${gateway?.name} of simulation ${run}, outage ${i}`;
                assert.ok(
                    maxDelayMs <= inForceWithinMs,
                    `${where}: ${maxDelayMs} ms after ${describe(outage, gateway)}`,
                );
                overallMaxDelayMs = Math.max(overallMaxDelayMs, maxDelayMs);
            }
            simulation.stop();
        }
        t.diagnostic(`latest after ${Math.round(overallMaxDelayMs)} ms`);
    });
}

// Guards against a 404 or 401 from a gateway with recent contact with the store whose state may still lack the route or
// key.
test("a gateway that may lack a change doesn't deny unknown routes", async t => {
    const clock = VirtualClock.install(t);
    const size = { gateways: 13, zones: 3 };
    for (let run = 0; run < 40 * repetitions; run++) {
        const random = createRandomSource(size.gateways * 30_000 + run);
        const simulation = new OutageSimulation(clock, random, size);
        await clock.advance(settleMs);
        const outage = drawStaleOutage(random);
        const { wrongDenials, gateway } = await simulation.run(outage);
        assert.equal(wrongDenials, 0, `simulation ${run}: ${describe(outage, gateway)}`);
        simulation.stop();
    }
});
