import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedFleet, type SimulatedGateway } from "./support/simulatedGateways.js";
import { createConfiguration } from "./support/testEdge.js";
import { FaultyStore } from "./support/faultyStore.js";
import { VirtualClock } from "./support/virtualClock.js";

/** Time limit of the users' platform, from the store's response to a server that starts to drain, in milliseconds. */
const allowedMs = 2_500;
/** Time from the end of a partition until that limit applies to a gateway again, in milliseconds. */
const inTouchMs = 3_000;
/** Time limit by design, from the end of the last fault that keeps a change from a gateway, in milliseconds. */
const boundMs = 1_500;
const settleMs = 8_000;
const serversSettleMs = 3_000;
const sampleMs = 10;
const afterMs = 6_000;
const drainsPerTrouble = 6;
const longestCutMs = 12_000;
/** Time in which a running server writes its entry again after the store's recovery, in milliseconds. */
const rewriteMs = 1_500;

interface Trouble {
    readonly cutMs: number;
    /** Whether the gateways that are cut off reach each other. */
    readonly together: boolean;
    /** Time from the start of the partition to the store's fault, and the duration of that, in milliseconds. */
    readonly troubledAfterMs: number;
    readonly troubledMs: number;
    /** Fault of watches: changes are held back until it ends, or the connections are dead. */
    readonly watches: "heldBack" | "dead";
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

function drawTrouble(random: RandomSource): Trouble {
    const cutMs = 1_000 + random.next() * (longestCutMs - 1_000);
    return {
        cutMs,
        together: random.next() < 0.5,
        troubledAfterMs: random.next() * cutMs,
        troubledMs: 500 + random.next() * 4_000,
        watches: random.next() < 0.5 ? "heldBack" : "dead",
        losesHistory: random.next() < 0.7,
        staleMs: random.next() < 0.7 ? 3_000 : 0,
        drains: Array.from({ length: drainsPerTrouble }, () => ({
            atMs: random.next() * (cutMs + 1_000),
            deletedAfterMs: random.next() < 0.4 ? undefined : random.next() * 6_000,
        })),
    };
}

/** Result for one gateway and one draining server. */
interface Seen {
    readonly gateway: SimulatedGateway;
    readonly wasCut: boolean;
    readonly drain: Drain;
    /** Time from when nothing kept the change from the gateway until it last considered the server usable. */
    readonly lateMs: number;
    /** Whether it violates the platform's limit. */
    readonly isTooLate: boolean;
}

/** Simulated fleet, a third of which is cut off from all other gateways and from the store. */
class PartitionWorld {
    readonly #time: VirtualClock;
    readonly #store: FaultyStore;
    readonly #fleet: SimulatedFleet;
    readonly #random: RandomSource;
    #started = 0;

    constructor(
        time: VirtualClock,
        random: RandomSource,
        size: { readonly gateways: number; readonly zones: number; },
    ) {
        this.#time = time;
        this.#random = random;
        this.#store = new FaultyStore(time, random);
        this.#store.put("configuration", createConfiguration(1));
        this.#fleet = new SimulatedFleet(time, this.#store, random, size);
        for (const gateway of this.#fleet.gateways) {
            setTimeout(() => gateway.start(), random.next() * 300);
        }
    }

    /** Drains servers while a third of the gateways is cut off and the store has a fault. */
    async drain(trouble: Trouble): Promise<readonly Seen[]> {
        const { drains, cutMs, troubledAfterMs, troubledMs } = trouble;
        const ids = drains.map(() => this.#startServer());
        await this.#time.advance(serversSettleMs);
        const startMs = this.#time.monotonicMs();
        const cut = this.#cutOff(trouble.together);
        setTimeout(() => this.#reconnect(cut), cutMs);
        this.#troubleStore(trouble);
        drains.forEach(({ atMs, deletedAfterMs }, i) => {
            const id = ids[i] ?? "";
            setTimeout(() => this.#put(id, "draining"), atMs);
            if (deletedAfterMs !== undefined) {
                setTimeout(() => this.#store.delete(`servers/${id}`), atMs + deletedAfterMs);
            }
        });
        const lastUsableMs = new Map<string, number>();
        const untilMs = startMs + Math.max(cutMs, troubledAfterMs + troubledMs) + afterMs;
        while (this.#time.monotonicMs() < untilMs) {
            await this.#time.advance(sampleMs);
            for (const { name, view } of this.#fleet.gateways) {
                for (const id of ids) {
                    if (view.isUsable(id, this.#time.monotonicMs())) {
                        lastUsableMs.set(`${name} ${id}`, this.#time.monotonicMs() - startMs);
                    }
                }
            }
        }
        return drains.flatMap((drain, i) =>
            this.#fleet.gateways.map(gateway => {
                const wasCut = cut.has(gateway);
                const lastMs = lastUsableMs.get(`${gateway.name} ${ids[i]}`) ?? -Infinity;
                const lateMs = lastMs - findKnowableMs(trouble, drain, wasCut);
                const isTooLate = wasCut && lastMs > Math.max(drain.atMs + allowedMs, cutMs + inTouchMs);
                return { gateway, wasCut, drain, lateMs, isTooLate };
            })
        );
    }

    /**
     * Simulates an outage of the store in which the entries of all servers expire and are written again, as the servers
     * still run, while a third of the gateways is cut off.
     *
     * @returns the number of samples in which a gateway considered a running server unusable
     */
    async lapse({ awayMs, cutMs, together }: { awayMs: number; cutMs: number; together: boolean; }): Promise<number> {
        const ids = Array.from({ length: drainsPerTrouble }, () => this.#startServer());
        await this.#time.advance(serversSettleMs);
        const cut = this.#cutOff(together);
        setTimeout(() => this.#reconnect(cut), cutMs);
        this.#store.startFault("silent");
        setTimeout(() => {
            for (const id of ids) {
                this.#store.delete(`servers/${id}`);
                setTimeout(() => this.#put(id, "ready"), this.#random.next() * rewriteMs);
            }
            this.#store.endFault(false);
        }, awayMs);
        let givenUp = 0;
        const untilMs = this.#time.monotonicMs() + Math.max(awayMs, cutMs) + afterMs;
        while (this.#time.monotonicMs() < untilMs) {
            await this.#time.advance(sampleMs);
            for (const { view } of this.#fleet.gateways) {
                givenUp += ids.filter(id => !view.isUsable(id, this.#time.monotonicMs())).length;
            }
        }
        return givenUp;
    }

    stop(): void {
        this.#fleet.stop();
        this.#time.clear();
    }

    /** Cuts off a third of the gateways, including one that relays changes to others. */
    #cutOff(together: boolean): ReadonlySet<SimulatedGateway> {
        const { gateways } = this.#fleet;
        const asked = new Set(gateways.map(({ logs }) => logs.findLast(isRelayChosen)?.["peer"]));
        const relays = gateways.filter(({ name }) => asked.has(name));
        const cut = new Set([draw(this.#random, relays.length > 0 ? relays : gateways)]);
        while (cut.size < Math.round(gateways.length / 3)) {
            cut.add(draw(this.#random, gateways));
        }
        let partition = 1;
        for (const gateway of cut) {
            gateway.link.cut = true;
            gateway.partition = partition;
            partition += together ? 0 : 1;
        }
        return cut;
    }

    #reconnect(cut: ReadonlySet<SimulatedGateway>): void {
        for (const gateway of cut) {
            gateway.link.cut = false;
            gateway.partition = 0;
        }
    }

    #troubleStore({ troubledAfterMs, troubledMs, watches, losesHistory, staleMs }: Trouble): void {
        const store = this.#store;
        const loseHistory = (): void => {
            store.compactRevision = losesHistory ? store.engine.revision : store.compactRevision;
        };
        setTimeout(() => {
            store.stalenessMs = staleMs;
            loseHistory();
            if (watches === "dead") {
                store.silenceWatches();
            }
            else {
                store.watchSnapshot = store.engine.freeze();
            }
        }, troubledAfterMs);
        setTimeout(() => {
            store.stalenessMs = 0;
            store.watchSnapshot = undefined;
            loseHistory();
            store.notifyWatches();
        }, troubledAfterMs + troubledMs);
    }

    #startServer(): string {
        const id = `server-${this.#started++}`;
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
function findKnowableMs({ cutMs, troubledAfterMs, troubledMs }: Trouble, { atMs }: Drain, wasCut: boolean): number {
    const inTouchAtMs = wasCut ? Math.max(atMs, cutMs) : atMs;
    const troubleEndMs = troubledAfterMs + troubledMs;
    // A watch that died unnoticed shortly before the change delivers it no more than one that dies after it.
    const isMute = inTouchAtMs >= troubledAfterMs - boundMs && inTouchAtMs < troubleEndMs;
    return isMute ? troubleEndMs : inTouchAtMs;
}

function isRelayChosen({ message }: Readonly<Record<string, unknown>>): boolean {
    return message === "relayChosen";
}

function draw<T>(random: RandomSource, values: readonly T[]): T {
    return values[Math.floor(random.next() * values.length)] as T;
}

function describe({ gateway, wasCut, drain, lateMs }: Seen, trouble: Trouble): string {
    const lines = gateway.logs.slice(-12).map(line => JSON.stringify(line));
    const { cutMs, together, troubledAfterMs, troubledMs, watches, losesHistory, staleMs } = trouble;
    const rest = { cutMs, together, troubledAfterMs, troubledMs, watches, losesHistory, staleMs };
    return [
        `${gateway.name}, ${wasCut ? "cut off" : "connected"}, late by ${Math.round(lateMs)} ms`,
        JSON.stringify({ ...rest, ...drain }),
        ...lines,
    ].join("\n");
}

const sizes = [
    { gateways: 13, zones: 3, lives: 20, troubles: 4 },
    { gateways: 131, zones: 4, lives: 2, troubles: 3 },
];
/** Factor for the number of simulations, to run more of them by hand. */
const more = Number(process.env["OUTAGES"] ?? 1);

// Guards against a gateway that keeps sending to a server which left while the gateway was cut off: it mistook the
// partition for an outage of the store, and the missing entry for one that expired in the outage.
for (const { lives, troubles, ...size } of sizes) {
    test(`after a partition, ${size.gateways} gateways learn in time which servers drain or have left`, async t => {
        const time = VirtualClock.install(t);
        let latest: { readonly seen: Seen; readonly trouble: Trouble; readonly where: string; } | undefined;
        let count = 0;
        let overBound = 0;
        let tooLate = 0;
        for (let life = 0; life < lives * more; life++) {
            const seed = size.gateways * 10_000 + life;
            const random = createRandomSource(seed);
            const world = new PartitionWorld(time, createRandomSource(seed + 1), size);
            await time.advance(settleMs);
            for (let i = 0; i < troubles; i++) {
                const trouble = drawTrouble(random);
                for (const seen of await world.drain(trouble)) {
                    count++;
                    overBound += seen.lateMs > boundMs ? 1 : 0;
                    tooLate += seen.isTooLate && seen.lateMs > boundMs ? 1 : 0;
                    if (latest === undefined || seen.lateMs > latest.seen.lateMs) {
                        latest = { seen, trouble, where: `simulation ${life}, fault ${i}` };
                    }
                }
            }
            world.stop();
        }
        assert.ok(latest);
        const { seen, trouble, where } = latest;
        t.diagnostic(`latest ${Math.round(seen.lateMs)} ms, of ${count} cases`);
        assert.equal(
            overBound,
            0,
            `${overBound} of ${count} cases over the limit by design, ${tooLate} over the platform's: ${where}: ${
                describe(seen, trouble)
            }`,
        );
    });
}

// Guards against running servers that are dropped after a real outage of the store, because a gateway that was cut off
// as well, or that reached the store early, reports that there was no outage.
test("after an outage of the store, gateways that were cut off also keep servers whose entries expired", async t => {
    const time = VirtualClock.install(t);
    for (let life = 0; life < 20 * more; life++) {
        const random = createRandomSource(life);
        const world = new PartitionWorld(time, createRandomSource(life), { gateways: 13, zones: 3 });
        await time.advance(settleMs);
        for (let i = 0; i < 2; i++) {
            const awayMs = 3_000 + random.next() * 6_000;
            const cutMs = 1_000 + random.next() * (longestCutMs - 1_000);
            const givenUp = await world.lapse({ awayMs, cutMs, together: random.next() < 0.5 });
            assert.equal(givenUp, 0, `simulation ${life}, outage ${i}: ${JSON.stringify({ awayMs, cutMs })}`);
        }
        world.stop();
    }
});
