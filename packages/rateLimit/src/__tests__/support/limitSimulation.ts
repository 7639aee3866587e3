import { EventQueue } from "@galenaglade/replay";
import { type RandomSource } from "@galenaglade/routing";
import { type Command, type Decision, type LimitMessage, RateLimiter, type TokenRequest } from "../../index.js";

/** Interface of a limiter, so that alternatives can be compared under the same loads. */
export type Limiter = Pick<
    RateLimiter,
    "request" | "onMessage" | "onRoster" | "tick" | "nextTickMs" | "giveBack" | "stop"
>;

/** A simulated host with its own clocks; other times are those of the simulation. */
export class SimulatedHost {
    readonly name: string;
    limiter: Limiter | undefined;
    rule: TokenRequest | undefined;
    roster: readonly string[] = [];
    /** Messages received while the host is suspended; `undefined` while it runs. */
    inbox: (() => void)[] | undefined;
    monotonicMs = 0;
    wallMs = 0;
    tickAtMs = Infinity;
    incarnations = 0;
    /** Callers waiting for a decision, by request id. */
    readonly callers = new Map<number, (decision: Decision) => void>();

    constructor(name: string) {
        this.name = name;
    }
}

/** The decision on one request. */
export interface DecisionOutcome {
    readonly atMs: number;
    readonly type: Decision["type"];
}

/**
 * Simulation of hosts with rate limiters in virtual time, on a network that drops, delays and duplicates datagrams and
 * can be partitioned.
 */
export class LimitSimulation {
    readonly queue = new EventQueue();
    readonly hosts: readonly SimulatedHost[];
    readonly outcomes: DecisionOutcome[] = [];
    readonly random: RandomSource;
    /** Whether a datagram can currently be delivered. */
    isConnected: (from: string, to: string) => boolean = () => true;
    packetLossRate = 0;
    /** Maximum delay of a datagram. */
    maxDelayMs: (from: string, to: string) => number = () => 3;
    givenBackRate = 0;
    /** Number of callers whose request was refused on all attempts. */
    refusedCallers = 0;
    sentMessages = 0;
    sentBytes = 0;
    isCountingBytes = false;
    /** Fraction of datagrams that are delivered twice. */
    duplicationRate = 0;
    readonly #create: (name: string, incarnation: string, startedAtMs: number) => Limiter;
    readonly #byName: ReadonlyMap<string, SimulatedHost>;

    constructor(hosts: number, random: RandomSource, create?: (name: string) => Limiter) {
        this.random = random;
        this.#create = create ?? ((name, incarnation, startedAtMs) => {
            const limiter = new RateLimiter({
                name,
                incarnation,
                random: () => random.next(),
                startedAtMs,
            });
            limiter.setActive(true, startedAtMs);
            return limiter;
        });
        this.hosts = Array.from({ length: hosts }, (_, i) => new SimulatedHost(`host-${i}`));
        this.#byName = new Map(this.hosts.map(host => [host.name, host]));
        const roster = this.hosts.map(({ name }) => name);
        for (const host of this.hosts) {
            host.roster = roster;
            host.monotonicMs = random.next() * 1e6;
            host.wallMs = 1e9 + random.next() * 50;
        }
    }

    /** Starts a process whose program took some time to load before. */
    start(host: SimulatedHost, loadedMs = 0): void {
        const nowMs = this.#nowOf(host);
        host.limiter = this.#create(host.name, `${host.name}:${++host.incarnations}`, nowMs - loadedMs);
        host.tickAtMs = Infinity;
        host.inbox = undefined;
        this.setRoster(host, host.roster);
    }

    crash(host: SimulatedHost): void {
        host.limiter = undefined;
        host.inbox = undefined;
        this.refusedCallers += host.callers.size;
        host.callers.clear();
    }

    setRoster(host: SimulatedHost, names: readonly string[]): void {
        host.roster = names;
        this.#perform(host, limiter => limiter.onRoster(names, this.#nowOf(host)));
    }

    stop(host: SimulatedHost): void {
        this.#perform(host, limiter => limiter.stop(this.#nowOf(host)));
    }

    /** @param stopsClock - whether the monotonic clock stops, as with a suspended virtual machine */
    suspend(host: SimulatedHost, forMs: number, stopsClock: boolean): void {
        if (host.limiter === undefined || host.inbox !== undefined) {
            return;
        }
        const inbox: (() => void)[] = host.inbox = [];
        this.queue.schedule(forMs, () => {
            if (host.inbox === inbox) {
                host.monotonicMs -= stopsClock ? forMs : 0;
                host.inbox = undefined;
                inbox.forEach(receive => receive());
                this.#perform(host, () => []);
            }
        });
    }

    requestToken(host: SimulatedHost): void {
        const { rule } = host;
        if (host.inbox === undefined && rule !== undefined) {
            this.#perform(host, limiter => limiter.request(rule, this.#nowOf(host), this.#wallOf(host)).commands);
        }
    }

    run(untilMs: number): void {
        this.queue.runUntil(untilMs, 3_000_000);
    }

    /** Sends a caller's request to a random running host; if refused, retries on a random one after the retry delay. */
    sendCallerRequest(retries: number): void {
        const hosts = this.hosts.filter(({ limiter, inbox }) => limiter !== undefined && inbox === undefined);
        const host = hosts[this.random.nextInt(hosts.length)];
        if (host?.rule === undefined || host.limiter === undefined) {
            return;
        }
        const { limiter, rule } = host;
        this.#perform(host, () => {
            const { requestId, commands } = limiter.request(rule, this.#nowOf(host), this.#wallOf(host));
            host.callers.set(requestId, decision => {
                if (decision.type === "admitted") {
                    return;
                }
                if (retries > 0) {
                    this.queue.schedule(decision.retryAfterMs, () => this.sendCallerRequest(retries - 1));
                }
                else {
                    this.refusedCallers++;
                }
            });
            return commands;
        });
    }

    /** @returns the number of decisions of one type since a time */
    countOutcomes(type: Decision["type"], fromMs = 0): number {
        return this.outcomes.filter(outcome => outcome.type === type && outcome.atMs >= fromMs).length;
    }

    #nowOf(host: SimulatedHost): number {
        return host.monotonicMs + this.queue.nowMs;
    }

    #wallOf(host: SimulatedHost): number {
        return host.wallMs + this.queue.nowMs;
    }

    #perform(host: SimulatedHost, action: (limiter: Limiter) => readonly Command[]): void {
        const { limiter } = host;
        if (limiter === undefined) {
            return;
        }
        for (const command of action(limiter)) {
            if (command.type === "send") {
                this.#send(host.name, command.to, command.message);
            }
            else {
                this.#onDecision(limiter, command.decision);
                host.callers.get(command.requestId)?.(command.decision);
                host.callers.delete(command.requestId);
            }
        }
        this.#scheduleTick(host, limiter);
    }

    #scheduleTick(host: SimulatedHost, limiter: Limiter): void {
        const atMs = this.queue.nowMs + (limiter.nextTickMs(this.#nowOf(host)) ?? Infinity);
        if (atMs === Infinity || (host.tickAtMs <= atMs && host.tickAtMs >= this.queue.nowMs)) {
            return;
        }
        host.tickAtMs = atMs;
        // Rounded up as timers are; otherwise a rounding error could make a tick early and due again at once.
        this.queue.schedule(atMs - this.queue.nowMs + 0.01, () => {
            if (host.limiter === limiter && host.tickAtMs === atMs && host.inbox === undefined) {
                host.tickAtMs = Infinity;
                this.#perform(host, () => limiter.tick(this.#nowOf(host), this.#wallOf(host)));
            }
        });
    }

    #send(from: string, to: string, message: LimitMessage): void {
        this.sentMessages++;
        this.sentBytes += this.isCountingBytes ? Buffer.byteLength(JSON.stringify(message)) : 0;
        const copies = this.random.next() < this.duplicationRate ? 2 : 1;
        for (let i = 0; i < copies; i++) {
            if (this.isConnected(from, to) && this.random.next() >= this.packetLossRate) {
                const delayMs = this.maxDelayMs(from, to) * (0.5 + this.random.next() / 2);
                this.queue.schedule(delayMs, () => this.#receive(from, to, message));
            }
        }
    }

    #receive(from: string, to: string, message: LimitMessage): void {
        const host = this.#byName.get(to);
        if (host?.inbox !== undefined) {
            host.inbox.push(() => this.#receive(from, to, message));
        }
        else if (host !== undefined) {
            this.#perform(host, limiter => limiter.onMessage(from, message, this.#nowOf(host), this.#wallOf(host)));
        }
    }

    #onDecision(limiter: Limiter, decision: Decision): void {
        if (decision.type === "admitted" && this.random.next() < this.givenBackRate) {
            limiter.giveBack(decision.token);
            return;
        }
        this.outcomes.push({ atMs: this.queue.nowMs, type: decision.type });
    }
}

/** @returns the maximum number of requests of a workspace in a window of five seconds, including the tolerance */
export function maxRequestsInWindow({ perSecond, burst }: Pick<TokenRequest, "perSecond" | "burst">): number {
    return 1.1 * (5 * perSecond + burst) + 20;
}

/**
 * Finds the window of five seconds with the largest ratio of admitted to allowed requests.
 *
 * @param admittedMs - times of the admitted requests, in ascending order
 * @param allowed - returns the number of requests allowed in the window that starts at a time
 * @returns the ratio; the bound holds if it is at most 1
 */
export function findMaxWindowUsage(admittedMs: readonly number[], allowed: (fromMs: number) => number): number {
    let worst = 0;
    let end = 0;
    for (const [i, fromMs] of admittedMs.entries()) {
        while ((admittedMs[end] ?? Infinity) < fromMs + 5_000) {
            end++;
        }
        worst = Math.max(worst, (end - i) / allowed(fromMs));
    }
    return worst;
}
