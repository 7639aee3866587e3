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
const longestAwayMs = 15_000;
/** Time after a recovery in which calls are counted, in milliseconds. */
const herdMs = 2_000;
/** Time to wait for a version that is late, in milliseconds. */
const afterMs = 6_000;
/** The store's rate limits. */
const readsPerSecond = 2_000;
const writesPerSecond = 400;

const manners: readonly StoreFault[] = ["silent", "reset", "busy", "refusing", "slow"];
const relayTroubles = ["none", "none", "dies", "cutOff", "returns"] as const;

interface Outage {
    /** Time until it begins, in milliseconds. */
    readonly calmMs: number;
    readonly how: StoreFault | "watchesSilent";
    readonly awayMs: number;
    readonly lapses: boolean;
    readonly losesHistory: boolean;
    /** Fault of one relay at the recovery of the store. */
    readonly relay: typeof relayTroubles[number];
    readonly versions: number;
    readonly ackedAfterMs: number;
    /** Time after the recovery in which stale reads return the revision from before the outage, in milliseconds. */
    readonly staleMs?: number;
}

/** Interval between samples of whether each gateway would deny an unknown route, in milliseconds. */
const lookMs = 50;

function draw<T>(random: RandomSource, values: readonly T[]): T {
    return values[Math.floor(random.next() * values.length)] as T;
}

function drawOutage(random: RandomSource): Outage {
    const how = draw(random, [...manners, "silent", "watchesSilent"] as const);
    return {
        how,
        calmMs: 2_000 + random.next() * 6_000,
        awayMs: random.next() < 0.3 ? random.next() * 1_000 : random.next() * longestAwayMs,
        lapses: random.next() < 0.2,
        losesHistory: random.next() < 0.1,
        relay: draw(random, relayTroubles),
        versions: 1 + Math.floor(random.next() * 5),
        ackedAfterMs: random.next() < 0.5 ? 0 : random.next() * 3_000,
    };
}

interface Measured {
    readonly latestMs: number;
    readonly who: SimulatedGateway | undefined;
    /** Number of calls in the time {@link herdMs} after the recovery. */
    readonly reads: number;
    readonly writes: number;
    /** Cost of the calls during the outage, as the store charges them. */
    readonly awayPrice: number;
    /** Cost of the calls from the start of the outage until some seconds after the recovery. */
    readonly price: number;
    readonly wrongDenials: number;
}

/** Simulated fleet with a store that has repeated outages. */
class OutageWorld {
    readonly #time: VirtualClock;
    readonly #store: FaultyStore;
    readonly #fleet: SimulatedFleet;
    #version = 1;

    constructor(
        time: VirtualClock,
        random: RandomSource,
        size: { readonly gateways: number; readonly zones: number; },
    ) {
        this.#time = time;
        this.#store = new FaultyStore(time, random);
        this.#putVersion(1);
        this.#fleet = new SimulatedFleet(time, this.#store, random, size);
        for (const gateway of this.#fleet.gateways) {
            setTimeout(() => gateway.start(), random.next() * 300);
        }
    }

    /** @returns how late the last healthy gateway had the new version in force, and the calls of the store */
    async play(outage: Outage): Promise<Measured> {
        const store = this.#store;
        await this.#time.advance(outage.calmMs);
        const relay = this.#findRelay();
        const priceBefore = store.calls.cost;
        const revision = store.engine.revision;
        const awayPrice = await this.#stayAway(outage, relay);
        if (outage.staleMs !== undefined) {
            store.pinnedReadRevision = revision;
            setTimeout(() => store.pinnedReadRevision = undefined, outage.staleMs);
        }
        if (outage.losesHistory) {
            store.compactRevision = store.engine.revision;
        }
        store.endFault(outage.lapses);
        if (outage.relay === "dies") {
            relay?.powerOff();
        }
        if (relay !== undefined) {
            relay.link.cut = outage.relay === "cutOff";
        }
        const returnedAtMs = this.#time.monotonicMs();
        const { reads, writes } = store.calls;
        await this.#time.advance(outage.ackedAfterMs);
        const ackedAtMs = this.#time.monotonicMs();
        for (let i = 0; i < outage.versions; i++) {
            this.#putVersion(this.#version + 1);
        }
        await this.#time.advance(Math.max(0, returnedAtMs + herdMs - ackedAtMs));
        const herd = { reads: store.calls.reads - reads, writes: store.calls.writes - writes, awayPrice };
        const wrongDenials = await this.#countWrongDenials(ackedAtMs);
        const price = store.calls.cost - priceBefore;
        const measured = { ...this.#findLatest(ackedAtMs), ...herd, price, wrongDenials };
        if (relay !== undefined) {
            relay.link.cut = false;
        }
        return measured;
    }

    stop(): void {
        this.#fleet.stop();
        this.#time.clear();
    }

    /** @returns how often a gateway would have denied a route of a version that has to be in force but isn't */
    async #countWrongDenials(ackedAtMs: number): Promise<number> {
        let wrong = 0;
        const untilMs = this.#time.monotonicMs() + afterMs;
        for (let nowMs = this.#time.monotonicMs(); nowMs < untilMs; nowMs = this.#time.monotonicMs()) {
            for (const { isDead, view, inForceAtMs } of this.#fleet.gateways) {
                const isLate = nowMs > ackedAtMs + inForceWithinMs && !inForceAtMs.has(this.#version);
                wrong += !isDead && isLate && isStateFresh(view, nowMs) ? 1 : 0;
            }
            await this.#time.advance(lookMs);
        }
        return wrong;
    }

    /** Simulates the outage up to the recovery. @returns the cost of the calls in that time */
    async #stayAway({ how, relay: trouble, awayMs }: Outage, relay: SimulatedGateway | undefined): Promise<number> {
        if (how === "watchesSilent") {
            this.#store.silenceWatches();
        }
        else {
            this.#store.startFault(how);
        }
        if (trouble === "returns" && relay !== undefined) {
            relay.link.cut = true;
        }
        const { cost } = this.#store.calls;
        await this.#time.advance(awayMs);
        return this.#store.calls.cost - cost;
    }

    /** @returns a gateway that relays changes to others; `undefined` if there is none */
    #findRelay(): SimulatedGateway | undefined {
        const asked = this.#fleet.gateways.flatMap(({ logs }) => {
            const chosen = logs.findLast(({ message }) => message === "relayChosen");
            return chosen === undefined ? [] : [chosen["peer"]];
        });
        return this.#fleet.gateways.find(({ name, isDead }) => !isDead && asked.includes(name));
    }

    #findLatest(ackedAtMs: number): Pick<Measured, "latestMs" | "who"> {
        let latest: Pick<Measured, "latestMs" | "who"> = { latestMs: 0, who: undefined };
        for (const gateway of this.#fleet.gateways) {
            const latestMs = (gateway.inForceAtMs.get(this.#version) ?? Infinity) - ackedAtMs;
            if (!gateway.isDead && !gateway.link.cut && latestMs > latest.latestMs) {
                latest = { latestMs, who: gateway };
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
    { gateways: 13, zones: 3, lives: 16, outages: 5 },
    { gateways: 131, zones: 4, lives: 1, outages: 4 },
    { gateways: 312, zones: 6, lives: 1, outages: 5 },
];
/** Factor for the number of simulations, to run more of them by hand. */
const more = Number(process.env["OUTAGES"] ?? 1);

function describe({ how, ...rest }: Outage, who: SimulatedGateway | undefined): string {
    const lines = who?.logs.filter(({ message }) => message !== "belief").slice(-10) ?? [];
    return [how, JSON.stringify(rest), ...lines.map(line => JSON.stringify(line))].join("\n");
}

// Guards against a gateway that gets changes too late after an outage, because it still waits for a call that was lost.
for (const { lives, outages, ...size } of sizes) {
    test(`after any outage of the store, changes come into force in ${size.gateways} gateways in time`, async t => {
        const time = VirtualClock.install(t);
        let worstMs = 0;
        let mostReads = 0;
        let awayPrice = 0;
        let price = 0;
        for (let life = 0; life < lives * more; life++) {
            const seed = size.gateways * 10_000 + life;
            const random = createRandomSource(seed);
            const world = new OutageWorld(time, createRandomSource(seed), size);
            await time.advance(settleMs);
            for (let i = 0; i < outages; i++) {
                const outage = drawOutage(random);
                const { latestMs, who, reads, writes, ...rest } = await world.play(outage);
                const where = `${who?.name} of simulation ${life}, outage ${i}`;
                assert.ok(latestMs <= inForceWithinMs, `${where}: ${latestMs} ms after ${describe(outage, who)}`);
                assert.ok(reads <= herdMs / 1_000 * readsPerSecond, `${where}: ${reads} reads`);
                assert.ok(writes <= herdMs / 1_000 * writesPerSecond, `${where}: ${writes} writes`);
                worstMs = Math.max(worstMs, latestMs);
                mostReads = Math.max(mostReads, reads);
                awayPrice += rest.awayPrice;
                price += rest.price;
            }
            world.stop();
        }
        t.diagnostic(
            `latest after ${Math.round(worstMs)} ms; at most ${mostReads} reads in the ${herdMs} ms after a recovery`,
        );
        t.diagnostic(
            `cost of calls during outages: ${Math.round(awayPrice)}, including those after recoveries: ${
                Math.round(price)
            }`,
        );
    });
}

// Guards against a gateway that waits once more for two dead relays after it reaches the store again.
test("a gateway waits for dead relays only once", async t => {
    const time = VirtualClock.install(t);
    const seed = 130_365;
    const random = createRandomSource(seed);
    const world = new OutageWorld(time, createRandomSource(seed), { gateways: 13, zones: 3 });
    await time.advance(settleMs);
    for (let i = 0; i < 5; i++) {
        const outage = drawOutage(random);
        const { latestMs, who } = await world.play(outage);
        assert.ok(latestMs <= inForceWithinMs, `outage ${i}: ${latestMs} ms after ${describe(outage, who)}`);
    }
    world.stop();
});

// Guards against a probe or check whose stale result overrides what the gateway knows already.
test("reads that are older than the outage delay no change", async t => {
    const time = VirtualClock.install(t);
    for (let life = 0; life < 10; life++) {
        const random = createRandomSource(life);
        const world = new OutageWorld(time, random, { gateways: 13, zones: 3 });
        await time.advance(settleMs);
        const outage: Outage = {
            ...drawOutage(random),
            how: "silent",
            relay: "none",
            losesHistory: false,
            staleMs: 5_000,
        };
        const { latestMs, who } = await world.play(outage);
        assert.ok(latestMs <= inForceWithinMs, `simulation ${life}: ${latestMs} ms after ${describe(outage, who)}`);
        world.stop();
    }
});

const staleSizes = [
    { gateways: 13, zones: 3, lives: 60, outages: 1 },
    { gateways: 131, zones: 4, lives: 2, outages: 2 },
    { gateways: 312, zones: 6, lives: 1, outages: 1 },
];
const longestStaleMs = 6_000;

function drawStaleOutage(random: RandomSource): Outage {
    const outage = drawOutage(random);
    const isShort = random.next() < 0.5;
    const awayMs = isShort ? random.next() * 600 : outage.awayMs;
    return { ...outage, awayMs, staleMs: random.next() * longestStaleMs };
}

// Guards against a watch on a dead connection that passes its check, because the check's read is older than the change.
for (const { lives, outages, ...size } of staleSizes) {
    test(`a dead watch delays no change in ${size.gateways} gateways, however stale cheap reads are`, async t => {
        const time = VirtualClock.install(t);
        let worstMs = 0;
        for (let life = 0; life < lives * more; life++) {
            const seed = size.gateways * 20_000 + life;
            const random = createRandomSource(seed);
            const world = new OutageWorld(time, createRandomSource(seed), size);
            await time.advance(settleMs);
            for (let i = 0; i < outages; i++) {
                const outage = drawStaleOutage(random);
                const { latestMs, who } = await world.play(outage);
                const where = `${who?.name} of simulation ${life}, outage ${i}`;
                assert.ok(latestMs <= inForceWithinMs, `${where}: ${latestMs} ms after ${describe(outage, who)}`);
                worstMs = Math.max(worstMs, latestMs);
            }
            world.stop();
        }
        t.diagnostic(`latest after ${Math.round(worstMs)} ms`);
    });
}

// Guards against a 404 or 401 from a gateway with recent contact with the store whose state may still lack the route or
// key.
test("a gateway that may lack a change doesn't deny unknown routes", async t => {
    const time = VirtualClock.install(t);
    const size = { gateways: 13, zones: 3 };
    for (let life = 0; life < 40 * more; life++) {
        const random = createRandomSource(size.gateways * 30_000 + life);
        const world = new OutageWorld(time, random, size);
        await time.advance(settleMs);
        const outage = drawStaleOutage(random);
        const { wrongDenials, who } = await world.play(outage);
        assert.equal(wrongDenials, 0, `simulation ${life}: ${describe(outage, who)}`);
        world.stop();
    }
});
