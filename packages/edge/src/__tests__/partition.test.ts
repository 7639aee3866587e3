import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedFleet, type SimulatedGateway } from "./support/simulatedGateways.js";
import { createConfiguration } from "./support/testEdge.js";
import { FaultyStore } from "./support/faultyStore.js";
import { VirtualClock } from "./support/virtualClock.js";

/** What the users' platform allows from the store's answer to a server that begins to leave. */
const allowedMs = 2_500;
/** From the end of its cut until a host is held to it. */
const inTouchMs = 3_000;
/** What the design promises, counted from when the last of what keeps a change from a gateway is over. */
const boundMs = 1_500;
const settleMs = 8_000;
const serversSettleMs = 3_000;
const sampleMs = 10;
const afterMs = 6_000;
const drainsPerTrouble = 6;
const longestCutMs = 12_000;
/** Time in which a living server writes its entry again after the store's return. */
const rewriteMs = 1_500;

interface Trouble {
    readonly cutMs: number;
    /** Whether the hosts that are cut off reach each other. */
    readonly together: boolean;
    /** From the start of the cut until the store is troubled, and for how long. */
    readonly troubledAfterMs: number;
    readonly troubledMs: number;
    /** How watches are silent meanwhile: held back until the end, or connections that die. */
    readonly watches: "heldBack" | "dead";
    readonly losesHistory: boolean;
    readonly staleMs: number;
    readonly drains: readonly Drain[];
}

interface Drain {
    /** From the start of the cut. */
    readonly atMs: number;
    /** From the start of draining until the server's entry is deleted. */
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

/** One gateway and one server that leaves. */
interface Seen {
    readonly gateway: SimulatedGateway;
    readonly wasCut: boolean;
    readonly drain: Drain;
    /** Until it last would have sent the server a request, from when nothing kept it from knowing better. */
    readonly lateMs: number;
    /** Whether it breaks what the platform allows. */
    readonly isTooLate: boolean;
}

/** Gateways of which a third is cut off from all others and from the store. */
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

    /** Servers leave while a third of the gateways is cut off and the store is troubled. */
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
     * The store is away, all servers' entries lapse, and the servers, which live, write theirs again, while a third of the gateways is
     * cut off.
     *
     * @returns how often a gateway gave up a server that lives
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

    /** Cuts off a third of the gateways, one that others ask among them. */
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

/** @returns from when nothing keeps a gateway from knowing that a server leaves: no cut, and no store that tells nobody */
function findKnowableMs({ cutMs, troubledAfterMs, troubledMs }: Trouble, { atMs }: Drain, wasCut: boolean): number {
    const inTouchAtMs = wasCut ? Math.max(atMs, cutMs) : atMs;
    const troubleEndMs = troubledAfterMs + troubledMs;
    // A watch that dies silently a moment before the change is as mute as one that dies after it.
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
        `${gateway.name}, ${wasCut ? "cut off" : "in touch"}, late by ${Math.round(lateMs)} ms`,
        JSON.stringify({ ...rest, ...drain }),
        ...lines,
    ].join("\n");
}

const sizes = [
    { gateways: 13, zones: 3, lives: 20, troubles: 4 },
    { gateways: 131, zones: 4, lives: 2, troubles: 3 },
];
/** Lives are played this many times more often by hand. */
const more = Number(process.env["OUTAGES"] ?? 1);

// Guards against a host that goes on sending to a server which left while the host was cut off: it took its own cut for an outage of the
// store, and the missing entry for one that lapsed in it.
for (const { lives, troubles, ...size } of sizes) {
    test(`after a cut, ${size.gateways} gateways know in time which servers leave, also those that are gone by then`, async t => {
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
                        latest = { seen, trouble, where: `life ${life}, trouble ${i}` };
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
            `${overBound} of ${count} cases, ${tooLate} too late: ${where}: ${describe(seen, trouble)}`,
        );
    });
}

// Guards against servers that live and are given up after a real outage, because a gateway that was cut off as well, or that found the
// store early, says that nothing was away.
test("after an outage of the store, servers whose entries lapsed are believed by gateways that were cut off, too", async t => {
    const time = VirtualClock.install(t);
    for (let life = 0; life < 20 * more; life++) {
        const random = createRandomSource(life);
        const world = new PartitionWorld(time, createRandomSource(life), { gateways: 13, zones: 3 });
        await time.advance(settleMs);
        for (let i = 0; i < 2; i++) {
            const awayMs = 3_000 + random.next() * 6_000;
            const cutMs = 1_000 + random.next() * (longestCutMs - 1_000);
            const givenUp = await world.lapse({ awayMs, cutMs, together: random.next() < 0.5 });
            assert.equal(givenUp, 0, `life ${life}, outage ${i}: ${JSON.stringify({ awayMs, cutMs })}`);
        }
        world.stop();
    }
});
