import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type SimulatedOperator, Simulation } from "./support/simulation.js";

const runs = Number(process.env["FLEET_RUNS"] ?? 120);
const faultyMs = 25_000;
const gatewayCount = 5;

const kinds = [
    "change",
    "change",
    "standing",
    "operatorEnds",
    "storeCut",
    "storeDown",
    "storeSlow",
    "answersLost",
    "readsStale",
    "watchesSilent",
    "networkCut",
    "isolated",
    "isolated",
    "networkLossy",
    "networkSlow",
    "pause",
    "restart",
    "replace",
] as const;

const step = fc.record({
    atMs: fc.integer({ min: 0, max: faultyMs }),
    kind: fc.constantFrom(...kinds),
    selector: fc.integer({ min: 0, max: 1_023 }),
    durationMs: fc.integer({ min: 100, max: 15_000 }),
});

type Step = Parameters<Parameters<typeof step.map>[0]>[0];

/** One run of a fleet with a sequence of faults and changes. */
class FaultyRun {
    readonly sim: Simulation;
    readonly #operators: SimulatedOperator[];
    #changes = 0;
    #replacements = 0;

    constructor(seed: number) {
        this.sim = new Simulation(seed);
        for (let i = 1; i <= gatewayCount; i++) {
            this.sim.startGateway(`gw${i}`);
        }
        this.#operators = [this.sim.startOperator("op0"), this.sim.startOperator("op1")];
    }

    /** Makes a change every 2 to 4 seconds in addition to the steps, so that faults coincide with changes. */
    changeRegularly(): void {
        const operator = this.sim.startOperator("regular");
        for (let atMs = 2_000; atMs < faultyMs; atMs += 2_000 + this.sim.random.nextInt(2_000)) {
            this.sim.time.schedule(atMs, () => void this.sim.change(operator, `change-${this.#changes++}`));
        }
    }

    play({ kind, selector, durationMs }: Step): void {
        const sim = this.sim;
        const gateways = [...sim.gateways.values()];
        const gateway = gateways[selector % gateways.length];
        const chosen = [...gateways.map(({ name }) => name), "op0", "op1"].filter((_, i) => (selector >> i & 1) === 1);
        switch (kind) {
            case "change":
                void sim.change(this.#operatorFor(selector), `change-${this.#changes++}`);
                return;
            case "standing":
                void sim.changeStatus(this.#operatorFor(selector));
                return;
            case "operatorEnds":
                this.#operatorFor(selector).process.end();
                this.#operators[selector % 2] = sim.startOperator(`op${selector % 2}`);
                return;
            case "storeCut":
                chosen.forEach(name => sim.cutFromStore.add(name));
                sim.time.schedule(durationMs, () => chosen.forEach(name => sim.cutFromStore.delete(name)));
                return;
            case "storeDown":
                sim.cutFromStore.add("*");
                sim.time.schedule(durationMs, () => sim.cutFromStore.delete("*"));
                return;
            case "storeSlow":
                sim.storeDelayMs = 1 + selector;
                sim.time.schedule(durationMs, () => {
                    sim.storeDelayMs = 5;
                });
                return;
            case "answersLost":
                sim.lostResponseShare = selector / 1_024;
                sim.time.schedule(durationMs, () => {
                    sim.lostResponseShare = 0;
                });
                return;
            case "readsStale":
                sim.storeFaults.staleEngine = sim.engine.snapshot();
                sim.time.schedule(durationMs, () => {
                    sim.storeFaults.staleEngine = undefined;
                });
                return;
            case "watchesSilent":
                sim.storeFaults.silentWatches = true;
                return;
            case "networkCut":
                this.#cut(new Set(chosen), (selector & 512) === 0);
                sim.time.schedule(durationMs, () => sim.network.heal());
                return;
            case "isolated":
                this.#isolate(chosen.filter(name => !name.startsWith("op")), durationMs);
                return;
            case "networkLossy":
                sim.network.lossProbability = selector / 2_048;
                return;
            case "networkSlow":
                sim.network.maxDelayMs = 1 + selector;
                return;
            case "pause":
                gateway?.process.pause();
                sim.time.schedule(durationMs, () => gateway?.process.resume());
                return;
            case "restart":
                if (gateway !== undefined) {
                    sim.startGateway(gateway.name);
                }
                return;
            case "replace":
                if (gateway !== undefined) {
                    sim.endGateway(gateway.name);
                    sim.startGateway(`gw${gatewayCount + ++this.#replacements}`);
                }
                return;
        }
    }

    operator(): SimulatedOperator {
        return this.sim.startOperator("op2");
    }

    #operatorFor(selector: number): SimulatedOperator {
        return this.#operators[selector % 2] ?? assert.fail();
    }

    /** Disconnects gateways from the store and from all other processes, like hosts with a broken network. */
    #isolate(names: readonly string[], durationMs: number): void {
        this.#cut(new Set(names), true);
        names.forEach(name => this.sim.cutFromStore.add(name));
        this.sim.time.schedule(durationMs, () => {
            this.sim.network.heal();
            names.forEach(name => this.sim.cutFromStore.delete(name));
        });
    }

    #cut(side: ReadonlySet<string>, bothWays: boolean): void {
        const names = [...this.sim.gateways.keys(), "op0", "op1", "regular"];
        for (const from of names) {
            for (const to of names) {
                if (side.has(from) && !side.has(to)) {
                    this.sim.network.cut(from, to);
                    if (bothWays) {
                        this.sim.network.cut(to, from);
                    }
                }
            }
        }
    }
}

async function playRun(seed: number, steps: readonly Step[]): Promise<void> {
    const run = new FaultyRun(seed);
    const sim = run.sim;
    run.changeRegularly();
    for (const planned of [...steps].sort((a, b) => a.atMs - b.atMs)) {
        await sim.run(Math.max(0, planned.atMs - sim.time.nowMs));
        run.play(planned);
    }
    await sim.run(faultyMs - sim.time.nowMs);
    sim.check();
    sim.heal();
    await sim.run(20_000);
    const acceptance = await sim.changeNow(run.operator(), "last-change");
    assert.ok(acceptance.inForce, "the last change is in force");
    await sim.run(5_000);
    const before = [...sim.gateways.values()].map(({ name, sent }) => ({ name, sent }));
    await sim.run(1_000);
    for (const { name, sent } of before) {
        assert.ok((sim.gateways.get(name)?.sent ?? 0) > sent, `${name} serves again`);
    }
    sim.check();
}

// Guards against work under an older configuration after a change was reported as in force. Each run combines changes,
// pauses, restarts, replaced hosts and faults of the store and the network at random, then ends the faults. No work may
// be sent under a wrong configuration, and after the faults all gateways must serve again, since a fleet that rejects
// all work would be safe but useless.
test("combined faults don't revert a change in force, and the fleet recovers", async () => {
    await fc.assert(
        fc.asyncProperty(fc.integer(), fc.array(step, { minLength: 4, maxLength: 24 }), playRun),
        // Shrinking a failure would take many minutes, and the run must end within ten; the seed suffices to repeat it.
        { numRuns: runs, endOnFailure: true },
    );
});

// The same for a run that once failed.
test("the run with seed 285211304 doesn't revert a change in force, and the fleet recovers", () =>
    playRun(285_211_304, [
        { atMs: 14, kind: "networkSlow", selector: 428, durationMs: 11_446 },
        { atMs: 20_370, kind: "operatorEnds", selector: 87, durationMs: 2_012 },
        { atMs: 10_498, kind: "isolated", selector: 4, durationMs: 5_065 },
        { atMs: 6_398, kind: "replace", selector: 935, durationMs: 9_345 },
        { atMs: 2, kind: "isolated", selector: 414, durationMs: 14_997 },
        { atMs: 22_185, kind: "networkLossy", selector: 1_018, durationMs: 5_861 },
        { atMs: 10, kind: "restart", selector: 993, durationMs: 8_265 },
        { atMs: 8_610, kind: "storeSlow", selector: 83, durationMs: 14_067 },
        { atMs: 3_977, kind: "storeDown", selector: 231, durationMs: 8_236 },
        { atMs: 14_926, kind: "change", selector: 7, durationMs: 14_131 },
        { atMs: 12_591, kind: "storeDown", selector: 778, durationMs: 8_916 },
        { atMs: 12, kind: "operatorEnds", selector: 5, durationMs: 14_756 },
        { atMs: 16_972, kind: "change", selector: 1_003, durationMs: 10_396 },
        { atMs: 13_801, kind: "storeCut", selector: 790, durationMs: 4_607 },
        { atMs: 3_115, kind: "change", selector: 497, durationMs: 106 },
        { atMs: 10_699, kind: "storeCut", selector: 859, durationMs: 101 },
    ]));
