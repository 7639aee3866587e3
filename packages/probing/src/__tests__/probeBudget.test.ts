import assert from "node:assert/strict";
import { test } from "node:test";
import { type StoreCommand, type StoreOutcome } from "@galenaglade/cold-start";
import { checkProbeBudget, type HistoryLine } from "@galenaglade/history";
import { createRandomSource, type RandomSource, type ServerId } from "@galenaglade/routing";
import { FakeStore, KeyValueEngine, VirtualTime } from "@galenaglade/stand-ins";
import fc from "fast-check";
import { type ProbedService, ProbeScheduler } from "../index.js";

interface ProbePlan {
    readonly seed: number;
    readonly gateways: number;
    readonly seats: number;
    readonly probesPerSecond: number;
    readonly loss: number;
    readonly pauseEveryMs: number;
    readonly outageMs: number;
    /** Whether gateways are cut off from the store alone, so that their seats lapse while they run on. */
    readonly cuts: boolean;
}

interface ProbingGateway {
    readonly id: string;
    readonly scheduler: ProbeScheduler;
    backlog: (() => void)[] | undefined;
    cutUntilMs: number;
}

const servers: readonly ServerId[] = ["service/a", "service/b", "service/c"];
const runMs = 60_000;

/** Gateways that probe whatever they may; a stopped one finds its work waiting for it, in no order. */
class SimulatedProbing {
    readonly history: HistoryLine[] = [];
    readonly #plan: ProbePlan;
    readonly #time = new VirtualTime();
    readonly #random: RandomSource;
    readonly #store: FakeStore;
    readonly #gateways: ProbingGateway[] = [];
    #seats: number;

    constructor(plan: ProbePlan) {
        this.#plan = plan;
        this.#seats = plan.seats;
        this.#random = createRandomSource(plan.seed);
        this.#store = new FakeStore(new KeyValueEngine(), this.#time, (client, nowMs) => {
            const isDown = nowMs >= 20_000 && nowMs < 20_000 + plan.outageMs;
            const isCut = this.#gateways.some(each => each.id === client && nowMs < each.cutUntilMs);
            if (isDown || isCut || this.#isLost()) {
                return { type: "requestLost", timeoutMs: 1_000 };
            }
            const outMs = 1 + this.#random.below(40);
            return this.#isLost()
                ? { type: "answerLost", outMs, timeoutMs: 1_000 }
                : { type: "answered", outMs, backMs: 1 + this.#random.below(40) };
        });
    }

    run(changeSeatsTo?: number): void {
        for (let i = 0; i < this.#plan.gateways; i++) {
            this.#addGateway(i);
        }
        if (this.#plan.pauseEveryMs > 0) {
            this.#disturb();
        }
        if (changeSeatsTo !== undefined) {
            this.#time.after(30_000, () => this.#changeSeats(changeSeatsTo));
        }
        this.#time.runUntil(runMs);
    }

    #isLost(): boolean {
        return this.#random.next() < this.#plan.loss;
    }

    #declare(): readonly ProbedService[] {
        const { probesPerSecond } = this.#plan;
        return [{ service: "service", seats: this.#seats, probesPerSecond, serverIds: servers }];
    }

    #addGateway(i: number): void {
        const id = `g${i}/1`;
        const scheduler = new ProbeScheduler(id, createRandomSource(this.#plan.seed + i + 1));
        const gateway: ProbingGateway = { id, scheduler, backlog: undefined, cutUntilMs: 0 };
        this.#gateways.push(gateway);
        scheduler.onServices(this.#declare(), 0);
        this.#every(gateway, 200, () => this.#tick(gateway));
        this.#every(gateway, 300, () => {
            const startedAtMs = this.#time.nowMs;
            this.#time.after(5, () => runOn(gateway, () => scheduler.onContact(startedAtMs, this.#time.nowMs)));
        });
        this.#every(gateway, 20, () => this.#probe(gateway));
    }

    /** Every gateway hears of the change within the time for which contact lasts, as the fleet's rules have it. */
    #changeSeats(seats: number): void {
        this.#seats = seats;
        for (const gateway of this.#gateways) {
            const hear = (): void => gateway.scheduler.onServices(this.#declare(), this.#time.nowMs);
            this.#time.after(this.#random.below(1_400), () => runOn(gateway, hear));
        }
    }

    #every(gateway: ProbingGateway, periodMs: number, work: () => void): void {
        this.#time.after(this.#random.below(2 * periodMs), () => {
            runOn(gateway, work);
            this.#every(gateway, periodMs, work);
        });
    }

    #disturb(): void {
        this.#time.after(this.#random.below(2 * this.#plan.pauseEveryMs), () => {
            const gateway = this.#gateways[this.#random.below(this.#gateways.length)];
            const forMs = this.#random.below(16_000);
            if (gateway !== undefined && this.#plan.cuts && this.#random.next() < 0.5) {
                gateway.cutUntilMs = this.#time.nowMs + forMs;
            }
            else if (gateway !== undefined && gateway.backlog === undefined) {
                gateway.backlog = [];
                this.#time.after(forMs, () => this.#resume(gateway));
            }
            this.#disturb();
        });
    }

    #resume(gateway: ProbingGateway): void {
        const backlog = gateway.backlog ?? [];
        gateway.backlog = undefined;
        while (backlog.length > 0) {
            backlog.splice(this.#random.below(backlog.length), 1)[0]?.();
        }
    }

    #tick(gateway: ProbingGateway): void {
        for (const command of gateway.scheduler.tick(this.#time.nowMs)) {
            const askedAtMs = this.#time.nowMs;
            this.#store.call(gateway.id, (engine, nowMs) => runCommand(engine, command, nowMs), result => {
                const outcome: StoreOutcome = result.orDefault({ type: "failed" });
                const reply = { command, askedAtMs, outcome };
                runOn(gateway, () => gateway.scheduler.onStoreReply(reply, this.#time.nowMs));
            });
        }
    }

    #probe(gateway: ProbingGateway): void {
        const server = gateway.scheduler.takeProbe(this.#time.nowMs);
        if (server !== undefined) {
            this.history.push({
                sequence: this.history.length,
                atMs: this.#time.nowMs,
                process: gateway.id,
                type: "serverProbed",
                server,
                gateway: gateway.id,
            });
        }
    }
}

function runOn(gateway: ProbingGateway, work: () => void): void {
    if (gateway.backlog === undefined) {
        work();
    }
    else {
        gateway.backlog.push(work);
    }
}

function runCommand(engine: KeyValueEngine, command: StoreCommand, nowMs: number): StoreOutcome {
    if (command.type === "grantLease") {
        const lease = engine.grantLease(command.ttlMs, nowMs);
        return { type: "lease", leaseId: lease.id, ttlMs: lease.ttlMs };
    }
    if (command.type === "renewLease") {
        const lease = engine.renewLease(command.leaseId, nowMs);
        return lease === undefined ? { type: "lapsed" } : { type: "lease", leaseId: lease.id, ttlMs: lease.ttlMs };
    }
    if (command.type === "swap") {
        const outcome = engine.compareAndSwap(command, nowMs);
        return outcome.swapped
            ? { type: "swapped", revision: outcome.revision }
            : { type: "notSwapped", current: outcome.current };
    }
    return { type: "value", entry: engine.get(command.key, nowMs) };
}

const plans = fc.record({
    seed: fc.integer({ min: 1, max: 0x7fffffff }),
    gateways: fc.integer({ min: 2, max: 8 }),
    seats: fc.integer({ min: 1, max: 4 }),
    probesPerSecond: fc.constantFrom(0.5, 2, 10),
    loss: fc.constantFrom(0, 0.02, 0.1),
    pauseEveryMs: fc.constantFrom(0, 1_000, 5_000),
    outageMs: fc.constantFrom(0, 15_000),
    cuts: fc.boolean(),
});

// The operators see a server probed more often than they allowed. A holder is stopped, its lease lapses, another takes
// the seat and probes, and the first goes on where it stood; or a holder probes just before it lapses and the next just
// after. Each is right by what it knows, so only counting over all gateways shows the excess.
test("no server is probed beyond its budget, whoever is stopped, cut off or late", () => {
    fc.assert(
        fc.property(plans, plan => {
            const probing = new SimulatedProbing(plan);
            probing.run();
            assert.deepEqual(checkProbeBudget(probing.history, plan).slice(0, 2), [], JSON.stringify(plan));
        }),
        { numRuns: 200 },
    );
});

// The operators change the number of seats, and for a moment some gateways go by the old number and some by the new:
// half the budget from each of two old seats and a quarter from each of two new ones is more than the budget.
test("a change of the number of seats doesn't exceed either budget on the way", () => {
    const change = fc.record({ seed: fc.integer({ min: 1, max: 0x7fffffff }), to: fc.constantFrom(1, 2, 3, 8) });
    fc.assert(
        fc.property(change, ({ seed, to }) => {
            const plan: ProbePlan = {
                seed,
                gateways: 8,
                seats: 4,
                probesPerSecond: 2,
                loss: 0,
                pauseEveryMs: 0,
                outageMs: 0,
                cuts: false,
            };
            const probing = new SimulatedProbing(plan);
            probing.run(to);
            const heardByAllMs = 31_400;
            const before = probing.history.filter(line => line.atMs < heardByAllMs);
            const after = probing.history.filter(line => line.atMs >= heardByAllMs);
            assert.deepEqual(checkProbeBudget(before, plan).slice(0, 2), []);
            assert.deepEqual(checkProbeBudget(after, { ...plan, seats: to }).slice(0, 2), []);
            // Parted by the longer window of the two, no window of either holds probes of both.
            const windowMs = Math.max(plan.seats, to) * 1_000 / plan.probesPerSecond;
            const gapMs = (after[0]?.atMs ?? 0) - (before.at(-1)?.atMs ?? 0);
            assert.ok(gapMs >= windowMs, `${gapMs} ms between the last by the old and the first by the new number`);
        }),
        { numRuns: 60 },
    );
});

test("without faults the budget is used, but for the time of taking the seats", () => {
    const plan: ProbePlan = {
        seed: 1,
        gateways: 6,
        seats: 4,
        probesPerSecond: 2,
        loss: 0,
        pauseEveryMs: 0,
        outageMs: 0,
        cuts: false,
    };
    const probing = new SimulatedProbing(plan);
    probing.run();
    const late = probing.history.filter(line => line.atMs >= 30_000);
    const perSecond = late.length / servers.length / 30;
    assert.ok(perSecond > 1.8 && perSecond <= 2.05, `${perSecond} probes per second and server`);
});
