import { findOwners } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { groupOf, type TokenRequest } from "../../index.js";
import {
    maxRequestsInWindow,
    findMaxWindowUsage,
    type Limiter,
    LimitSimulation,
    type SimulatedHost,
} from "./limitSimulation.js";

const endMs = 15_000;
const fleetSizes = [1, 2, 3, 3, 4, 5, 6, 7, 9, 13];

/** A random scenario generated from a seed: a workspace requests more than its limit on a fleet with faults. */
export class RandomScenario {
    readonly simulation: LimitSimulation;
    readonly log: string[] = [];
    readonly #random: RandomSource;
    readonly #rules: readonly { readonly rule: TokenRequest; fromMs: number; untilMs: number; }[];
    readonly #partitions: ((from: string, to: string) => boolean)[] = [];
    readonly #delays: ((from: string, to: string) => number)[] = [];

    /** @param create - creates another limiter for comparison; the package's by default */
    constructor(seed: number, create?: (name: string) => Limiter) {
        // Consecutive seeds would yield similar scenarios.
        const random = this.#random = createRandomSource(Math.imul(seed, 0x9e37_79b1));
        const isLarge = random.next() < 0.01;
        const hosts = this.#pick(isLarge ? [131, 312] : fleetSizes);
        this.simulation = new LimitSimulation(hosts, random, create);
        this.simulation.isConnected = (from, to) => !this.#partitions.some(cut => cut(from, to));
        this.simulation.maxDelayMs = (from, to) => Math.max(2, ...this.#delays.map(delay => delay(from, to)));
        this.simulation.packetLossRate = this.#pick([0, 0, 0.025, 0.025, 0.2]);
        this.simulation.duplicationRate = 0.01;
        this.simulation.givenBackRate = this.#pick([0, 0, 0.1]);
        const first = this.#createRule(1);
        this.#rules = [
            { rule: first, fromMs: 0, untilMs: endMs },
            { rule: this.#createRule(2, first), fromMs: Infinity, untilMs: endMs },
        ];
        this.log.push(`${hosts} hosts, ${JSON.stringify(first)}, loss ${this.simulation.packetLossRate}`);
        this.#startAll(first);
        for (let i = 0; i < 1 + random.nextInt(6); i++) {
            this.#scheduleAt(2_000 + random.next() * 9_000, () => this.#injectFault());
        }
        this.#scheduleLoad(first);
    }

    /** @returns the maximum over all windows of admitted to allowed requests */
    run(): number {
        this.simulation.run(endMs);
        const admitted = this.simulation.outcomes.filter(({ type }) => type === "admitted").map(({ atMs }) => atMs);
        return findMaxWindowUsage(admitted, fromMs => {
            const inForce = this.#rules.filter(each => each.fromMs <= fromMs + 5_000 && each.untilMs > fromMs);
            // Around a change, the larger limit applies as a whole; rate and burst of different limits aren't combined.
            return Math.max(...inForce.map(({ rule }) => maxRequestsInWindow(rule)));
        });
    }

    #pick<T>(from: readonly T[]): T {
        return from[this.#random.nextInt(from.length)] as T;
    }

    #scheduleAt(atMs: number, run: () => void): void {
        this.simulation.queue.schedule(atMs - this.simulation.queue.nowMs, run);
    }

    #createRule(configVersion: number, previous?: TokenRequest): TokenRequest {
        // With small limits, the tolerance of 20 requests would hide faults; large limits take long to simulate.
        const perSecond = this.#random.next() < 0.75
            ? 60 + this.#random.next() * 140
            : 0.5 * 800 ** this.#random.next();
        const burst = perSecond * this.#pick([1, 1, 0, 0, 3]);
        return {
            workspace: previous?.workspace ?? `workspace ${this.#random.nextInt(1_000)}`,
            perSecond,
            burst,
            configVersion,
        };
    }

    #startAll(rule: TokenRequest): void {
        const withinMs = this.#pick([0, 500, 3_000]);
        for (const host of this.simulation.hosts) {
            host.rule = rule;
            this.#scheduleAt(
                this.#random.next() * withinMs,
                () => this.simulation.start(host, this.#random.next() * 500),
            );
        }
    }

    /** Schedules floods of requests to all or some hosts, continuously or with pauses in which buckets refill. */
    #scheduleLoad({ perSecond, burst }: TokenRequest): void {
        const { hosts } = this.simulation;
        const pauseMs = this.#pick([0, 2_000, 6_000]);
        for (let atMs = this.#pick([1_000, 5_000, 9_000]); atMs < endMs;) {
            const targets = this.#random.next() < 0.7 ? hosts : hosts.slice(this.#random.nextInt(hosts.length));
            const floodMs = Math.min(endMs - atMs, 500 + this.#random.next() * 6_000);
            const count = Math.ceil(burst + perSecond * this.#pick([1.5, 4.5]) * floodMs / 1_000 + 5);
            for (let i = 0; i < count; i++) {
                // The burst is sent at once.
                const afterMs = i < burst ? 0 : this.#random.next() * floodMs;
                this.#scheduleAt(atMs + afterMs, () => this.simulation.requestToken(this.#pick(targets)));
            }
            atMs += floodMs + this.#random.next() * pauseMs;
        }
    }

    #injectFault(): void {
        const random = this.#random;
        const faults = [
            () => this.#restart(this.#chooseVictims(), random.next() * 3_000),
            () => this.#suspend(this.#chooseVictims(), 50 + random.next() * 4_000, random.next() < 0.5),
            () => this.#partition(100 + random.next() * 6_000),
            () => this.#isolateInTurn(1_000 + random.next() * 500),
            () => this.#delay(500 + random.next() * 5_000),
            () => this.#changeRule(random.next() * 2_000),
            () => this.#changeRosters(random.next() * 3_000),
            () => this.#stepClocks(),
            () => this.#restart(this.#chooseVictims(), random.next() * 3_000, 50 + random.next() * 800),
        ];
        this.#pick(faults)();
    }

    /** Chooses hosts that fail. Half of the time these are allocators, as faults of other hosts have little effect. */
    #chooseVictims(): readonly SimulatedHost[] {
        const { hosts } = this.simulation;
        const candidates = this.#findCandidates();
        const fraction = this.#pick([0.1, 0.33, 0.55, 1]);
        return this.#random.next() < 0.5
            ? hosts.filter(({ name }) => candidates.slice(0, this.#pick([1, 1, 2, 4])).includes(name))
            : hosts.filter(() => this.#random.next() < fraction);
    }

    #findCandidates(): readonly string[] {
        const names = this.simulation.hosts.map(({ name }) => name);
        return findOwners(`rate limits ${groupOf(this.#rules[0]?.rule.workspace ?? "")}`, names, 6);
    }

    #logEvent(text: string, hosts?: readonly SimulatedHost[]): void {
        const names = hosts === undefined
            ? ""
            : ` (${hosts.length}: ${hosts.slice(0, 4).map(({ name }) => name).join(" ")})`;
        this.log.push(`${this.simulation.queue.nowMs.toFixed(0)} ms: ${text}${names}`);
    }

    #restart(victims: readonly SimulatedHost[], afterMs: number, stopNoticeMs = 0): void {
        this.#logEvent(`restart after ${afterMs.toFixed(0)} ms, with notice ${stopNoticeMs.toFixed(0)} ms`, victims);
        for (const host of victims) {
            if (stopNoticeMs > 0) {
                this.simulation.stop(host);
            }
            this.#scheduleAt(this.simulation.queue.nowMs + stopNoticeMs, () => this.simulation.crash(host));
            const startMs = this.simulation.queue.nowMs + stopNoticeMs + afterMs + this.#random.next() * 200;
            this.#scheduleAt(startMs, () => this.simulation.start(host, Math.min(afterMs, this.#random.next() * 500)));
        }
    }

    #suspend(victims: readonly SimulatedHost[], forMs: number, stopsClock: boolean): void {
        this.#logEvent(`suspended for ${forMs.toFixed(0)} ms, clock ${stopsClock ? "stops" : "runs"}`, victims);
        victims.forEach(host => this.simulation.suspend(host, forMs, stopsClock));
    }

    #partition(forMs: number): void {
        const kind = this.#pick(["both", "oneWay", "bridge", "each"]);
        const sideOf = new Map(this.simulation.hosts.map(({ name }) => [name, this.#random.nextInt(3)]));
        this.#logEvent(`partition ${kind} for ${forMs.toFixed(0)} ms`);
        const cuts: Record<string, (from: number, to: number) => boolean> = {
            both: (from, to) => (from === 0) !== (to === 0),
            oneWay: (from, to) => from === 0 && to !== 0,
            bridge: (from, to) => from !== to && from !== 2 && to !== 2,
            each: (from, to) => from === 0 || to === 0,
        };
        const cut = (from: string, to: string): boolean =>
            from !== to && cuts[kind]?.(sideOf.get(from) ?? 0, sideOf.get(to) ?? 0) === true;
        this.#partitions.push(cut);
        this.#scheduleAt(
            this.simulation.queue.nowMs + forMs,
            () => this.#partitions.splice(this.#partitions.indexOf(cut), 1),
        );
    }

    /** Isolates one allocator candidate after the other, each together with at most one other host. */
    #isolateInTurn(everyMs: number): void {
        this.#logEvent(`candidates isolated every ${everyMs.toFixed(0)} ms`);
        const { hosts } = this.simulation;
        for (const [i, rank] of this.#findCandidates().slice(0, 4).entries()) {
            const side = new Set([rank, this.#pick(hosts).name]);
            const cut = (from: string, to: string): boolean => side.has(from) !== side.has(to);
            this.#scheduleAt(this.simulation.queue.nowMs + i * everyMs, () => this.#partitions.push(cut));
        }
        this.#scheduleAt(this.simulation.queue.nowMs + 5 * everyMs, () => this.#partitions.splice(0));
    }

    #delay(forMs: number): void {
        const [maxMs, fraction] = [this.#pick([100, 600, 2_500, 2_500]), this.#pick([0.2, 0.7, 0.9, 1])];
        const slow = new Set(
            this.simulation.hosts.filter(() => this.#random.next() < fraction).map(({ name }) => name),
        );
        this.#logEvent(`up to ${maxMs} ms of delay for ${forMs.toFixed(0)} ms from ${slow.size}`);
        // Only messages to the first candidate are delayed, or messages to all hosts.
        const target = this.#random.next() < 0.6 ? this.#findCandidates()[0] : undefined;
        const delay = (from: string, to: string): number =>
            slow.has(from) && (target === undefined || target === to) ? maxMs : 0;
        this.#delays.push(delay);
        this.#scheduleAt(
            this.simulation.queue.nowMs + forMs,
            () => this.#delays.splice(this.#delays.indexOf(delay), 1),
        );
    }

    #changeRule(withinMs: number): void {
        const [first, second] = this.#rules;
        if (first === undefined || second === undefined || second.fromMs < Infinity) {
            return;
        }
        this.#logEvent(`limit changes within ${withinMs.toFixed(0)} ms to ${JSON.stringify(second.rule)}`);
        second.fromMs = this.simulation.queue.nowMs;
        first.untilMs = second.fromMs + withinMs;
        for (const host of this.simulation.hosts) {
            this.#scheduleAt(second.fromMs + this.#random.next() * withinMs, () => host.rule = second.rule);
        }
    }

    /** Adds or removes hosts, of which the others learn at different times; no more than the tolerance covers. */
    #changeRosters(withinMs: number): void {
        const { hosts } = this.simulation;
        const count = Math.floor(hosts.length * 0.05);
        const names = hosts.map(({ name }) => name);
        const roster = this.#random.next() < 0.5
            ? names.slice(count)
            : [...names, ...names.slice(0, count).map(name => `new-${name}`)];
        this.#logEvent(`roster of ${roster.length} within ${withinMs.toFixed(0)} ms`);
        for (const host of hosts) {
            this.#scheduleAt(
                this.simulation.queue.nowMs + this.#random.next() * withinMs,
                () => this.simulation.setRoster(host, roster),
            );
        }
    }

    #stepClocks(): void {
        const victims = this.#chooseVictims();
        const byMs = this.#pick([-3_600_000, -700, 80, 700, 3_600_000]);
        this.#logEvent(`clock steps by ${byMs} ms`, victims);
        victims.forEach(host => host.wallMs += byMs);
    }
}
