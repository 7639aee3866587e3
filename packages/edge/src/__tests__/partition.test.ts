import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedFleet, type SimulatedGateway } from "./support/simulatedGateways.js";
import { createConfiguration } from "./support/testEdge.js";
import { FaultyStore } from "./support/faultyStore.js";
import { VirtualClock } from "./support/virtualClock.js";

/** Time limit of the users' platform, from the store's response to a server that starts to drain, in milliseconds. */
const platformLimitMs = 2_500;
/** Time from the end of a partition until that limit applies to a gateway again, in milliseconds. */
const reconnectedMs = 3_000;
/** Time limit by design, from the end of the last fault that keeps a change from a gateway, in milliseconds. */
const designLimitMs = 1_500;
const settleMs = 8_000;
const serversSettleMs = 3_000;
const sampleMs = 10;
const settleAfterMs = 6_000;
const drainsPerScenario = 6;
const maxPartitionMs = 12_000;
/** Time in which a running server writes its entry again after the store's recovery, in milliseconds. */
const rewriteLimitMs = 1_500;

interface Scenario {
    readonly partitionMs: number;
    /** Whether the gateways that are cut off reach each other. */
    readonly areConnected: boolean;
    /** Time from the start of the partition to the store's fault, and the duration of that, in milliseconds. */
    readonly storeFaultAfterMs: number;
    readonly storeFaultMs: number;
    /** Fault of watches: changes are held back until it ends, or the connections are dead. */
    readonly watchFault: "heldBack" | "dead";
    readonly losesHistory: boolean;
    readonly staleMs: number;
    readonly drains: readonly Drain[];
}

interface Drain {
    /** Time from the start of the partition, in milliseconds. */
    readonly atMs: number;
    /** Time from the start of draining until the server's entry is deleted, in milliseconds; `undefined` for never. */
    readonly deletedAfterMs: number | undefined;
}

function drawScenario(random: RandomSource): Scenario {
    const partitionMs = 1_000 + random.next() * (maxPartitionMs - 1_000);
    return {
        partitionMs,
        areConnected: random.next() < 0.5,
        storeFaultAfterMs: random.next() * partitionMs,
        storeFaultMs: 500 + random.next() * 4_000,
        watchFault: random.next() < 0.5 ? "heldBack" : "dead",
        losesHistory: random.next() < 0.7,
        staleMs: random.next() < 0.7 ? 3_000 : 0,
        drains: Array.from({ length: drainsPerScenario }, () => ({
            atMs: random.next() * (partitionMs + 1_000),
            deletedAfterMs: random.next() < 0.4 ? undefined : random.next() * 6_000,
        })),
    };
}

/** Result for one gateway and one draining server. */
interface DrainResult {
    readonly gateway: SimulatedGateway;
    readonly wasCut: boolean;
    readonly drain: Drain;
    /** Time from when nothing kept the change from the gateway until it last considered the server usable. */
    readonly delayMs: number;
    /** Whether it violates the platform's limit. */
    readonly isTooLate: boolean;
}

/** Simulated fleet, a third of which is cut off from all other gateways and from the store. */
class PartitionSimulation {
    readonly #clock: VirtualClock;
    readonly #store: FaultyStore;
    readonly #fleet: SimulatedFleet;
    readonly #random: RandomSource;
    #serverCount = 0;

    constructor(
        clock: VirtualClock,
        random: RandomSource,
        size: { readonly gateways: number; readonly zones: number; },
    ) {
        this.#clock = clock;
        this.#random = random;
        this.#store = new FaultyStore(clock, random);
        this.#store.put("configuration", createConfiguration(1));
        this.#fleet = new SimulatedFleet(clock, this.#store, random, size);
        for (const gateway of this.#fleet.gateways) {
            setTimeout(() => gateway.start(), random.next() * 300);
        }
    }

    /** Drains servers while a third of the gateways is cut off and the store has a fault. */
    async simulateDrains(scenario: Scenario): Promise<readonly DrainResult[]> {
        const { drains, partitionMs, storeFaultAfterMs, storeFaultMs } = scenario;
        const serverIds = drains.map(() => this.#startServer());
        await this.#clock.advance(serversSettleMs);
        const startMs = this.#clock.monotonicMs();
        const cutGateways = this.#cutOff(scenario.areConnected);
        setTimeout(() => this.#reconnect(cutGateways), partitionMs);
        this.#startStoreFault(scenario);
        drains.forEach(({ atMs, deletedAfterMs }, i) => {
            const id = serverIds[i] ?? "";
            setTimeout(() => this.#put(id, "draining"), atMs);
            if (deletedAfterMs !== undefined) {
                setTimeout(() => this.#store.delete(`servers/${id}`), atMs + deletedAfterMs);
            }
        });
        const lastUsableMs = new Map<string, number>();
        const untilMs = startMs + Math.max(partitionMs, storeFaultAfterMs + storeFaultMs) + settleAfterMs;
        while (this.#clock.monotonicMs() < untilMs) {
            await this.#clock.advance(sampleMs);
            for (const { name, view } of this.#fleet.gateways) {
                for (const id of serverIds) {
                    if (view.isUsable(id, this.#clock.monotonicMs())) {
                        lastUsableMs.set(`${name} ${id}`, this.#clock.monotonicMs() - startMs);
                    }
                }
            }
        }
        return drains.flatMap((drain, i) =>
            this.#fleet.gateways.map(gateway => {
                const wasCut = cutGateways.has(gateway);
                const lastMs = lastUsableMs.get(`${gateway.name} ${serverIds[i]}`) ?? -Infinity;
                const delayMs = lastMs - findReachableMs(scenario, drain, wasCut);
                const isTooLate = wasCut
                    && lastMs > Math.max(drain.atMs + platformLimitMs, partitionMs + reconnectedMs);
                return { gateway, wasCut, drain, delayMs, isTooLate };
            })
        );
    }

    /**
     * Simulates an outage of the store in which the entries of all servers expire and are written again, as the servers
     * still run, while a third of the gateways is cut off.
     *
     * @returns the number of samples in which a gateway considered a running server unusable
     */
    async simulateOutage(
        { outageMs, partitionMs, areConnected }: { outageMs: number; partitionMs: number; areConnected: boolean; },
    ): Promise<number> {
        const serverIds = Array.from({ length: drainsPerScenario }, () => this.#startServer());
        await this.#clock.advance(serversSettleMs);
        const cutGateways = this.#cutOff(areConnected);
        setTimeout(() => this.#reconnect(cutGateways), partitionMs);
        this.#store.startFault("silent");
        setTimeout(() => {
            for (const id of serverIds) {
                this.#store.delete(`servers/${id}`);
                setTimeout(() => this.#put(id, "ready"), this.#random.next() * rewriteLimitMs);
            }
            this.#store.endFault(false);
        }, outageMs);
        let unusableCount = 0;
        const untilMs = this.#clock.monotonicMs() + Math.max(outageMs, partitionMs) + settleAfterMs;
        while (this.#clock.monotonicMs() < untilMs) {
            await this.#clock.advance(sampleMs);
            for (const { view } of this.#fleet.gateways) {
                unusableCount += serverIds.filter(id => !view.isUsable(id, this.#clock.monotonicMs())).length;
            }
        }
        return unusableCount;
    }

    stop(): void {
        this.#fleet.stop();
        this.#clock.clear();
    }

    /** Cuts off a third of the gateways, including one that relays changes to others. */
    #cutOff(areConnected: boolean): ReadonlySet<SimulatedGateway> {
        const { gateways } = this.#fleet;
        const relayNames = new Set(gateways.map(({ logs }) => logs.findLast(isRelayChosen)?.["peer"]));
        const relays = gateways.filter(({ name }) => relayNames.has(name));
        const cutGateways = new Set([draw(this.#random, relays.length > 0 ? relays : gateways)]);
        while (cutGateways.size < Math.round(gateways.length / 3)) {
            cutGateways.add(draw(this.#random, gateways));
        }
        let partition = 1;
        for (const gateway of cutGateways) {
            gateway.link.isCut = true;
            gateway.partition = partition;
            partition += areConnected ? 0 : 1;
        }
        return cutGateways;
    }

    #reconnect(cutGateways: ReadonlySet<SimulatedGateway>): void {
        for (const gateway of cutGateways) {
            gateway.link.isCut = false;
            gateway.partition = 0;
        }
    }

    #startStoreFault({ storeFaultAfterMs, storeFaultMs, watchFault, losesHistory, staleMs }: Scenario): void {
        const store = this.#store;
        const loseHistory = (): void => {
            store.compactRevision = losesHistory ? store.engine.revision : store.compactRevision;
        };
        setTimeout(() => {
            store.stalenessMs = staleMs;
            loseHistory();
            if (watchFault === "dead") {
                store.silenceWatches();
            }
            else {
                store.watchSnapshot = store.engine.snapshot();
            }
        }, storeFaultAfterMs);
        setTimeout(() => {
            store.stalenessMs = 0;
            store.watchSnapshot = undefined;
            loseHistory();
            store.notifyWatches();
        }, storeFaultAfterMs + storeFaultMs);
    }

    #startServer(): string {
        const id = `server-${this.#serverCount++}`;
        this.#put(id, "ready");
        return id;
    }

    #put(id: string, state: "ready" | "draining"): void {
        this.#store.put(`servers/${id}`, {
            id,
            service: "tables",
            address: { host: "server", port: 1 },
            availabilityZone: "zone-0",
            slots: 2,
            state,
            coldRemainingMs: 0,
            startedAtEpochMs: 1,
        });
    }
}

/** @returns when neither the partition nor the store's fault keeps a gateway from learning that a server drains */
function findReachableMs(
    { partitionMs, storeFaultAfterMs, storeFaultMs }: Scenario,
    { atMs }: Drain,
    wasCut: boolean,
): number {
    const connectedAtMs = wasCut ? Math.max(atMs, partitionMs) : atMs;
    const storeFaultEndMs = storeFaultAfterMs + storeFaultMs;
    // A watch that died unnoticed shortly before the change delivers it no more than one that dies after it.
    const isHidden = connectedAtMs >= storeFaultAfterMs - designLimitMs && connectedAtMs < storeFaultEndMs;
    return isHidden ? storeFaultEndMs : connectedAtMs;
}

function isRelayChosen({ message }: Readonly<Record<string, unknown>>): boolean {
    return message === "relayChosen";
}

function draw<T>(random: RandomSource, values: readonly T[]): T {
    return values[Math.floor(random.next() * values.length)] as T;
}

function describe({ gateway, wasCut, drain, delayMs }: DrainResult, scenario: Scenario): string {
    const lines = gateway.logs.slice(-12).map(line => JSON.stringify(line));
    const { partitionMs, areConnected, storeFaultAfterMs, storeFaultMs, watchFault, losesHistory, staleMs } = scenario;
    const rest = { partitionMs, areConnected, storeFaultAfterMs, storeFaultMs, watchFault, losesHistory, staleMs };
    return [
        `${gateway.name}, ${wasCut ? "cut off" : "connected"}, late by ${Math.round(delayMs)} ms`,
        JSON.stringify({ ...rest, ...drain }),
        ...lines,
    ].join("\n");
}

const sizes = [
    { gateways: 13, zones: 3, runs: 20, scenarioCount: 4 },
    { gateways: 131, zones: 4, runs: 2, scenarioCount: 3 },
];
/** Factor for the number of simulations, to run more of them by hand. */
const repetitions = Number(process.env["OUTAGES"] ?? 1);

// Guards against a gateway that keeps sending to a server which left while the gateway was cut off: it mistook the
// partition for an outage of the store, and the missing entry for one that expired in the outage.
for (const { runs, scenarioCount, ...size } of sizes) {
    test(`after a partition, ${size.gateways} gateways learn in time which servers drain or have left`, async t => {
        const clock = VirtualClock.install(t);
        let latest: { readonly result: DrainResult; readonly scenario: Scenario; readonly where: string; } | undefined;
        let count = 0;
        let overDesignLimit = 0;
        let overPlatformLimit = 0;
        for (let run = 0; run < runs * repetitions; run++) {
            const seed = size.gateways * 10_000 + run;
            const random = createRandomSource(seed);
            const simulation = new PartitionSimulation(clock, createRandomSource(seed + 1), size);
            await clock.advance(settleMs);
            for (let i = 0; i < scenarioCount; i++) {
                const scenario = drawScenario(random);
                for (const result of await simulation.simulateDrains(scenario)) {
                    count++;
                    overDesignLimit += result.delayMs > designLimitMs ? 1 : 0;
                    overPlatformLimit += result.isTooLate && result.delayMs > designLimitMs ? 1 : 0;
                    if (latest === undefined || result.delayMs > latest.result.delayMs) {
                        latest = { result, scenario, where: `simulation ${run}, fault ${i}` };
                    }
                }
            }
            simulation.stop();
        }
        assert.ok(latest);
        const { result, scenario, where } = latest;
        t.diagnostic(`latest ${Math.round(result.delayMs)} ms, of ${count} cases`);
        assert.equal(
            overDesignLimit,
            0,
            `${overDesignLimit} of ${count} cases over the design limit, ${overPlatformLimit} over the platform's: ${where}: ${
                describe(result, scenario)
            }`,
        );
    });
}

// Guards against running servers that are dropped after a real outage of the store, because a gateway that was cut off
// as well, or that reached the store early, reports that there was no outage.
test("after an outage of the store, gateways that were cut off also keep servers whose entries expired", async t => {
    const clock = VirtualClock.install(t);
    for (let run = 0; run < 20 * repetitions; run++) {
        const random = createRandomSource(run);
        const simulation = new PartitionSimulation(clock, createRandomSource(run), { gateways: 13, zones: 3 });
        await clock.advance(settleMs);
        for (let i = 0; i < 2; i++) {
            const outageMs = 3_000 + random.next() * 6_000;
            const partitionMs = 1_000 + random.next() * (maxPartitionMs - 1_000);
            const unusableCount = await simulation.simulateOutage({
                outageMs,
                partitionMs,
                areConnected: random.next() < 0.5,
            });
            assert.equal(
                unusableCount,
                0,
                `simulation ${run}, outage ${i}: ${JSON.stringify({ outageMs, partitionMs })}`,
            );
        }
        simulation.stop();
    }
});
