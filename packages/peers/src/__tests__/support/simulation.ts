import { type Configuration, resolveConfiguration } from "@galenaglade/configuration";
import { type Failure } from "@galenaglade/errors";
import {
    checkConfigurationInForce,
    checkConfigurationNeverReverts,
    checkConfigurationOrder,
    type HistoryEvent,
    type HistoryLine,
} from "@galenaglade/history";
import {
    type ChangeStatus,
    defaultFleetTimings,
    type FleetTimings,
    type Roster,
    storeKeys,
} from "@galenaglade/membership";
import { type HostEntry, HostList } from "@galenaglade/platform";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type StoreCallOutcome, FakeStore, KeyValueEngine, VirtualClock } from "@galenaglade/stand-ins";
import assert from "node:assert/strict";
import { type Either, Right } from "purify-ts";
import { createChangeCoordinator, type StoreChangeCoordinator } from "../../storeChangeCoordinator.js";
import { createFleetMembership } from "../../gatewayFleetMembership.js";
import { type FleetMembership } from "../../fleetMembership.js";
import { SimulatedNetwork } from "./simulatedNetwork.js";
import { SimulatedProcess } from "./simulatedProcess.js";
import { SimulatedStore, type StoreFaults } from "./simulatedStore.js";

/** Interval at which each gateway attempts to send work, in milliseconds. */
const workIntervalMs = 50;
/** Time after which the host list shows that a host has ended, in milliseconds. */
const hostListLagMs = 4_000;
const storeTimeoutMs = 1_000;
/** Maximum number of clock events in one run; about ten times the number in a long one. */
const maxClockEvents = 1_000_000;

/** Gateways are removed from the roster sooner than in production, so that a run has several roster changes. */
const timings: FleetTimings = { ...defaultFleetTimings, removeAfterMs: 6_000, rosterUpdateStaggerMs: 500 };

export interface SimulatedGateway {
    readonly name: string;
    readonly process: SimulatedProcess;
    readonly member: FleetMembership;
    /** Number of requests sent since the start. */
    sent: number;
}

export interface SimulatedOperator {
    readonly process: SimulatedProcess;
    readonly coordinator: StoreChangeCoordinator;
}

/** A fleet on virtual time: the real membership code on a simulated network and store, with a recorded history. */
export class Simulation {
    readonly time = new VirtualClock();
    readonly random: RandomSource;
    readonly network: SimulatedNetwork;
    readonly engine = new KeyValueEngine();
    readonly storeFaults: StoreFaults = { staleEngine: undefined, silentWatches: false, losesNextHeadResponse: false };
    /** Names of processes whose calls to the store are lost; `*` stands for all. */
    readonly cutFromStore = new Set<string>();
    readonly history: HistoryLine[] = [];
    readonly gateways = new Map<string, SimulatedGateway>();
    readonly #store: FakeStore;
    readonly #endedHosts = new Map<string, number>();
    /** Share of store calls whose response is lost after they took effect. */
    lostResponseShare = 0;
    storeDelayMs = 5;
    /** Whether the host list keeps hosts that have ended. */
    isHostListFrozen = false;
    #afterRead: { readonly key: string; readonly run: () => void; } | undefined;
    /** Overrides {@link storeDelayMs} for some processes; maximum delay in each direction, in milliseconds. */
    readonly maxStoreDelayMsByProcess = new Map<string, number>();
    #starts = 0;
    #clockEvents = 0;

    constructor(seed: number) {
        this.random = createRandomSource(seed);
        this.network = new SimulatedNetwork(this.time, this.random);
        this.#store = new FakeStore(this.engine, this.time, client => this.#drawOutcome(client));
    }

    record(process: string, event: HistoryEvent): void {
        this.history.push({ sequence: this.history.length, atMs: this.time.nowMs, process, ...event });
    }

    /** Starts a gateway, or restarts it under the same name. */
    startGateway(name: string, address = this.#resolveAddress(name)): SimulatedGateway {
        this.gateways.get(name)?.process.end();
        this.#endedHosts.delete(name);
        const process = new SimulatedProcess(name, this.time);
        const processName = `${name}/${++this.#starts}`;
        const member = createFleetMembership({
            store: this.#createStore(process),
            hosts: new SimulatedHosts(() => this.#listHosts()),
            name,
            availabilityZone: "a",
            listen: { host: "127.0.0.1", port: 0 },
            seeds: [1, 2, 3, 4, 5].map(n => this.#resolveAddress(`gw${n}`)),
            fleetKey: "key",
            timings,
            clock: process.createClock(),
            listener: this.network.createListener(process, address),
            caller: this.network.createCaller(process, timings.callTimeoutMs),
        });
        const gateway = { name, process, member, sent: 0 };
        this.gateways.set(name, gateway);
        member.onConfiguration(({ revision }) =>
            this.record(processName, { type: "configurationApplied", gateway: name, revision })
        );
        void member.start();
        this.#sendWork(gateway, processName);
        return gateway;
    }

    /** Ends a gateway's process permanently; the host list shows this later. */
    endGateway(name: string): void {
        this.gateways.get(name)?.process.end();
        this.gateways.delete(name);
        this.#endedHosts.set(name, this.time.nowMs);
    }

    startOperator(name: string): SimulatedOperator {
        const process = new SimulatedProcess(name, this.time);
        const coordinator = createChangeCoordinator({
            store: this.#createStore(process),
            fleetKey: "key",
            timings,
            clock: process.createClock(),
            caller: this.network.createCaller(process, timings.callTimeoutMs),
        });
        return { process, coordinator };
    }

    /** Applies a change like an operator, with one retry, and records whether it is in force. */
    async change(
        operator: SimulatedOperator,
        changeId: string,
        waitMs = 15_000,
    ): Promise<Either<Failure, ChangeStatus>> {
        const read = await operator.coordinator.read();
        const current = read.toMaybe().extract();
        if (current === undefined) {
            return read.map(() => assert.fail("unreachable"));
        }
        const req = { changeId, expectedRevision: current.revision, configuration: createConfiguration(changeId) };
        let applied = await operator.coordinator.apply(req, waitMs);
        if (applied.toMaybe().extract()?.inForce !== true) {
            applied = await operator.coordinator.apply(req, waitMs);
        }
        applied.ifRight(acceptance => this.#recordAcceptance(operator, acceptance));
        return applied;
    }

    /** Gets the status of the current change, and records whether it is in force. */
    async changeStatus(operator: SimulatedOperator): Promise<ChangeStatus | undefined> {
        const standing = (await operator.coordinator.changeStatus()).toMaybe().extract();
        if (standing !== undefined && standing.revision > 0) {
            this.#recordAcceptance(operator, standing);
        }
        return standing;
    }

    /** Applies a change and runs the clock until the call has ended. */
    async changeNow(operator: SimulatedOperator, changeId: string): Promise<ChangeStatus> {
        const applied = await this.until(this.change(operator, changeId));
        return applied.caseOf({ Left: failure => assert.fail(failure.detail), Right: acceptance => acceptance });
    }

    /** Runs the clock until a promise has settled. */
    async until<T>(promise: Promise<T>, limitMs = 40_000): Promise<T> {
        let settled: { readonly value: T; } | undefined;
        void promise.then(value => {
            settled = { value };
        });
        const untilMs = this.time.nowMs + limitMs;
        while (this.time.nowMs < untilMs) {
            await this.run(50);
            if (settled !== undefined) {
                return settled.value;
            }
        }
        return assert.fail("not settled in time");
    }

    /** Advances the clock, and lets all promises settle after each event. */
    async run(durationMs: number): Promise<void> {
        const untilMs = this.time.nowMs + durationMs;
        for (;;) {
            const nextAtMs = this.time.nextAtMs;
            if (nextAtMs === undefined || nextAtMs > untilMs) {
                break;
            }
            this.time.runUntil(nextAtMs);
            await settle();
            // An endless run would never print its seed.
            assert.ok(++this.#clockEvents < maxClockEvents, "the run never ends");
        }
        this.time.runUntil(untilMs);
    }

    /** Runs a function just after an operator's next read of a key. */
    afterNextRead(key: string, run: () => void): void {
        this.#afterRead = { key, run };
    }

    /** Writes a key directly to the store's state. */
    overwrite(key: string, value: string): void {
        const expectedRevision = this.engine.get(key, this.time.nowMs)?.modifiedRevision ?? 0;
        this.engine.compareAndSwap({ key, expectedRevision, value }, this.time.nowMs);
    }

    /** @returns the number of times that a change was written */
    writeCount(changeId: string): number {
        return this.history.filter(line => line.type === "configurationWritten" && line.changeId === changeId).length;
    }

    /** @returns the roster in the store */
    roster(): Roster | undefined {
        const entry = this.engine.get(storeKeys.roster, this.time.nowMs);
        return entry === undefined ? undefined : JSON.parse(entry.value) as Roster;
    }

    /** Ends all faults; resumes paused processes unless they are to stay paused. */
    heal(keep: { readonly paused: boolean; } = { paused: false }): void {
        this.network.heal();
        this.cutFromStore.clear();
        this.maxStoreDelayMsByProcess.clear();
        this.lostResponseShare = 0;
        this.storeDelayMs = 5;
        this.storeFaults.staleEngine = undefined;
        this.storeFaults.silentWatches = false;
        for (const { process } of keep.paused ? [] : this.gateways.values()) {
            process.resume();
        }
    }

    /** Fails if a checker finds a violation in the history so far. */
    check(): void {
        assert.deepEqual(
            [
                ...checkConfigurationInForce(this.history),
                ...checkConfigurationNeverReverts(this.history),
                ...checkConfigurationOrder(this.history),
            ].slice(0, 3),
            [],
        );
    }

    #recordAcceptance(operator: SimulatedOperator, acceptance: ChangeStatus): void {
        if (acceptance.inForce && operator.process.isRunning) {
            const { revision, changeId } = acceptance;
            this.record(operator.process.name, { type: "configurationAccepted", revision, changeId });
        }
    }

    #sendWork(gateway: SimulatedGateway, processName: string): void {
        const { name, process, member } = gateway;
        const attempt = (): void => {
            const configuration = member.current();
            if (configuration !== undefined && member.mayTakeNewWork()) {
                gateway.sent++;
                this.record(processName, {
                    type: "workSent",
                    gateway: name,
                    revision: configuration.revision,
                    requestId: `${processName}/${gateway.sent}`,
                    server: "table-1",
                    availabilityZone: "a",
                });
            }
            clock.after(workIntervalMs, attempt);
        };
        const clock = process.createClock();
        clock.after(this.random.nextInt(workIntervalMs), attempt);
    }

    #createStore(process: SimulatedProcess): SimulatedStore {
        return new SimulatedStore(process, this.#store, this.engine, this.time, this.storeFaults, (req, swapped) => {
            if (process.name.startsWith("op") && req.key === this.#afterRead?.key) {
                const { run } = this.#afterRead;
                this.#afterRead = undefined;
                run();
            }
            if (!swapped) {
                return;
            }
            if (req.key === storeKeys.head && req.value !== undefined) {
                const { revision, changeId } = JSON.parse(req.value) as { revision: number; changeId: string; };
                this.record("store", { type: "configurationWritten", revision, changeId });
            }
        });
    }

    #drawOutcome(client: string): StoreCallOutcome {
        if (this.cutFromStore.has(client) || this.cutFromStore.has("*")) {
            return { type: "requestLost", timeoutMs: storeTimeoutMs };
        }
        const delayMs = this.maxStoreDelayMsByProcess.get(client) ?? this.storeDelayMs;
        const outMs = 1 + this.random.nextInt(delayMs);
        if (this.random.next() < this.lostResponseShare) {
            return { type: "answerLost", outMs, timeoutMs: Math.max(storeTimeoutMs, outMs) };
        }
        return { type: "answered", outMs, backMs: 1 + this.random.nextInt(delayMs) };
    }

    #listHosts(): readonly HostEntry[] {
        const names = new Set(this.gateways.keys());
        for (const [name, endedAtMs] of this.#endedHosts) {
            if (this.isHostListFrozen || this.time.nowMs < endedAtMs + hostListLagMs) {
                names.add(name);
            }
        }
        return [...names].map(name => ({ name, address: "127.0.0.1", availabilityZone: "a", state: "live" }));
    }

    #resolveAddress(name: string): string {
        return `127.0.0.1:${10_000 + Number(name.slice(2))}`;
    }
}

class SimulatedHosts extends HostList {
    readonly #listHosts: () => readonly HostEntry[];

    constructor(shown: () => readonly HostEntry[]) {
        super();
        this.#listHosts = shown;
    }

    override list(): Promise<Either<Failure, readonly HostEntry[]>> {
        return Promise.resolve(Right(this.#listHosts()));
    }
}

function createConfiguration(changeId: string): Configuration {
    const state = changeId.length % 2 === 0 ? "in" : "out";
    return resolveConfiguration({ availabilityZones: [{ name: "a" }, { name: "b", state }], services: [] })
        .caseOf({ Left: faults => assert.fail(faults[0]?.message), Right: cfg => cfg });
}

/** Lets all promises that can settle do so. */
function settle(): Promise<void> {
    return new Promise(resolve => {
        setImmediate(resolve);
    });
}
