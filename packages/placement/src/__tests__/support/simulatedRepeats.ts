import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { type RepeatAllowance, RepeatBudget } from "../../index.js";

/** Length of a simulation step, in milliseconds. */
const stepMs = 10;
const durationMs = 36_000;
/** Time before the first request, in which all gateways are up. */
const leadMs = 10_000;
const maxExtraSends = 5;
/** Age after which callers abandon a request that was not read, in milliseconds. */
const unreadPatienceMs = 1_000;
/** Latency of connecting to a server and of the request's way to it, in milliseconds. */
const maxSendDelayMs = 300;
/** Time after which a gateway gives up a request that a link holds up, in milliseconds. */
const routeTimeoutMs = 1_200;
/** Maximum share of the hosts that are affected by one fault of the links. */
const maxHeldShare = 1 / 3;
/** Maximum share of hosts that others don't know of. */
const maxUnknownShare = 0.12;

/** Arrivals at the servers of one service, and the callers' requests for it, each sorted by time. */
export interface ObservedRepeats {
    readonly requestsAtMs: readonly number[];
    readonly repeatsAtMs: readonly number[];
}

interface Interval {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** What happens to a fleet of gateways. */
export interface FleetCourse {
    readonly gateways: number;
    readonly allowance: RepeatAllowance;
    readonly requestsPerSecond: number;
    /** Exponent of the distribution of callers over the gateways; 1 is even. */
    readonly skew: number;
    /** Times at which all requests fail and are sent again as often as allowed. */
    readonly failures: readonly Interval[];
    /** Share of the requests that are sent again at other times. */
    readonly hedgeShare: number;
    readonly bursts: readonly (Interval & { readonly factor: number; })[];
    readonly stops: readonly {
        readonly atMs: number;
        readonly share: number;
        readonly downMs: number;
        readonly spreadMs: number;
        readonly kind: "restarted" | "suspended";
    }[];
    /** Links of a share of the gateways hold up what is sent and deliver it at the end. */
    readonly heldLinks: readonly (Interval & { readonly share: number; })[];
    readonly sendDelayMs: number;
    /** Number of gateways that join, and whether gateways that are cut off from the store don't learn of it. */
    readonly joins: { readonly atMs: number; readonly count: number; readonly unknownToShare: number; };
    /** Whether callers whose gateway has gone stay with another one after its return. */
    readonly callersStay: boolean;
    readonly seed: number;
}

function drawIntervals(random: RandomSource, max: number, minMs: number, maxMs: number): Interval[] {
    const count = random.nextInt(max + 1);
    return Array.from({ length: count }, () => {
        const fromMs = random.next() * (durationMs - 6_000);
        return { fromMs, untilMs: fromMs + minMs + random.next() * (maxMs - minMs) };
    });
}

/** @returns a random course of events for a fleet of that size */
export function drawCourse(gateways: number, seed: number): FleetCourse {
    const random = createRandomSource(seed);
    const perGateway = 2 + random.next() ** 2 * 20;
    // Failures and stops that alternate within one window are the worst case, and rare in independent draws.
    const alternates = random.next() < 0.5;
    const periodMs = 3_000 + random.next() * 4_000;
    const firstMs = 3_000 + random.next() * 6_000;
    const rounds = 1 + random.nextInt(4);
    const share = [0.1, 0.3, 0.6, 1][random.nextInt(4)] ?? 1;
    const downMs = 200 + random.next() ** 2 * 4_000;
    const kind = random.next() < 0.8 ? "restarted" : "suspended";
    const failures = alternates
        ? Array.from({ length: rounds + 1 }, (_, i) => ({
            fromMs: firstMs + i * periodMs,
            untilMs: firstMs + i * periodMs + periodMs * (0.3 + 0.3 * random.next()),
        }))
        : drawIntervals(random, 5, 300, 12_000);
    const stops = Array.from({ length: alternates ? rounds : random.nextInt(5) }, (_, i) => ({
        atMs: alternates ? firstMs + (i + 0.7) * periodMs : random.next() * (durationMs - 6_000),
        share: alternates ? share : random.next(),
        downMs,
        spreadMs: random.next() < 0.7 ? 0 : random.next() * 4_000,
        kind,
    } as const));
    return {
        gateways,
        allowance: { ratio: 0.2, slack: gateways * (0.5 + random.next() * 3.5), windowMs: 10_000 },
        requestsPerSecond: Math.min(1_000, perGateway * gateways),
        skew: 1 + random.next() * 2,
        failures,
        hedgeShare: random.next() * 0.3,
        bursts: drawIntervals(random, 2, 1_000, 5_000).map(interval => ({
            ...interval,
            factor: 0.3 + random.next() * 1.7,
        })),
        stops,
        heldLinks: drawIntervals(random, 2, 300, routeTimeoutMs).map(interval => ({
            ...interval,
            share: random.next() * maxHeldShare,
        })),
        sendDelayMs: random.next() < 0.7 ? 20 : maxSendDelayMs,
        joins: {
            atMs: random.next() * durationMs,
            count: Math.floor(random.next() * maxUnknownShare * gateways),
            unknownToShare: random.next(),
        },
        callersStay: random.next() < 0.5,
        seed,
    };
}

/** @returns a course in which nothing happens to a fleet of that size */
export function createCalmCourse(gateways: number): FleetCourse {
    return {
        gateways,
        allowance: { ratio: 0.2, slack: gateways * 1.4, windowMs: 10_000 },
        requestsPerSecond: gateways * 3,
        skew: 1,
        failures: [],
        hedgeShare: 0,
        bursts: [],
        stops: [],
        heldLinks: [],
        sendDelayMs: 20,
        joins: { atMs: 0, count: 0, unknownToShare: 0 },
        callersStay: false,
        seed: 1,
    };
}

class FleetGateway {
    readonly index: number;
    readonly weight: number;
    /** Whether it doesn't learn of gateways that join. */
    readonly isCutOff: boolean;
    upAtMs: number;
    suspendedUntilMs = -Infinity;
    incarnation = 0;
    #budget: RepeatBudget;
    readonly #allowance: RepeatAllowance;

    constructor(index: number, weight: number, isCutOff: boolean, startedAtMs: number, allowance: RepeatAllowance) {
        this.index = index;
        this.weight = weight;
        this.isCutOff = isCutOff;
        this.upAtMs = startedAtMs;
        this.#allowance = allowance;
        this.#budget = new RepeatBudget(allowance, nameOf(index), startedAtMs);
    }

    isUp(nowMs: number): boolean {
        return nowMs >= this.upAtMs;
    }

    restart(nowMs: number, downMs: number): void {
        this.incarnation++;
        this.upAtMs = nowMs + downMs;
        this.#budget = new RepeatBudget(this.#allowance, nameOf(this.index), this.upAtMs);
    }

    onRequest(): void {
        this.#budget.onRequest("tables");
    }

    take(purpose: "retry" | "hedge", gateways: readonly string[], nowMs: number): boolean {
        return this.#budget.take("tables", purpose, gateways, nowMs);
    }
}

/** A fleet of gateways in virtual time, with the retry budgets of the real process. */
class RepeatSimulation {
    readonly #course: FleetCourse;
    readonly #random: RandomSource;
    readonly #gateways: FleetGateway[];
    readonly #callers: number[] = [];
    readonly #requestsAtMs: number[] = [];
    readonly #repeatsAtMs: number[] = [];
    readonly #tasks = new Map<number, (() => void)[]>();
    readonly #allNames: readonly string[];
    readonly #firstNames: readonly string[];
    #nowMs = -leadMs;

    constructor(course: FleetCourse) {
        this.#course = course;
        this.#random = createRandomSource(course.seed + 1);
        const { gateways, joins, skew, allowance } = course;
        this.#gateways = Array.from({ length: gateways + joins.count }, (_, i) =>
            new FleetGateway(
                i,
                this.#random.next() ** (skew - 1),
                this.#random.next() < joins.unknownToShare,
                i < gateways ? -leadMs : joins.atMs,
                allowance,
            ));
        this.#allNames = this.#gateways.map(({ index }) => nameOf(index)).sort();
        this.#firstNames = this.#gateways.slice(0, gateways).map(({ index }) => nameOf(index)).sort();
    }

    run(): ObservedRepeats {
        for (const stop of this.#course.stops) {
            this.#scheduleStop(stop);
        }
        const callers = Math.max(200, this.#course.gateways * 4);
        for (let i = 0; i < callers; i++) {
            this.#callers.push(this.#chooseGateway());
        }
        let due = 0;
        for (this.#nowMs = 0; this.#nowMs < durationMs; this.#nowMs += stepMs) {
            for (const task of this.#tasks.get(this.#nowMs) ?? []) {
                task();
            }
            this.#tasks.delete(this.#nowMs);
            due += this.#requestRate() * stepMs / 1_000;
            for (; due >= 1; due--) {
                this.#onCallerRequest();
            }
        }
        const compare = (a: number, b: number): number => a - b;
        return { requestsAtMs: this.#requestsAtMs.sort(compare), repeatsAtMs: this.#repeatsAtMs.sort(compare) };
    }

    #at(atMs: number, task: () => void): void {
        const stepAtMs = Math.max(this.#nowMs + stepMs, Math.ceil(atMs / stepMs) * stepMs);
        const tasks = this.#tasks.get(stepAtMs) ?? [];
        this.#tasks.set(stepAtMs, tasks);
        tasks.push(task);
    }

    #scheduleStop({ atMs, share, downMs, spreadMs, kind }: FleetCourse["stops"][number]): void {
        for (const gateway of this.#gateways) {
            if (this.#random.next() >= share) {
                continue;
            }
            this.#at(atMs + this.#random.next() * spreadMs, () => {
                if (kind === "suspended") {
                    gateway.suspendedUntilMs = this.#nowMs + downMs;
                }
                else {
                    gateway.restart(this.#nowMs, downMs);
                }
            });
        }
    }

    #isWithin(intervals: readonly Interval[]): boolean {
        return intervals.some(({ fromMs, untilMs }) => this.#nowMs >= fromMs && this.#nowMs < untilMs);
    }

    #requestRate(): number {
        const { bursts, requestsPerSecond } = this.#course;
        const factor = bursts.find(burst => this.#isWithin([burst]))?.factor ?? 1;
        return requestsPerSecond * factor;
    }

    #chooseGateway(): number {
        const up = this.#gateways.filter(gateway => gateway.isUp(this.#nowMs));
        const candidates = up.length > 0 ? up : this.#gateways;
        let left = this.#random.next() * candidates.reduce((sum, { weight }) => sum + weight, 0);
        for (const { index, weight } of candidates) {
            left -= weight;
            if (left <= 0) {
                return index;
            }
        }
        return candidates[0]?.index ?? 0;
    }

    #onCallerRequest(): void {
        const caller = this.#random.nextInt(this.#callers.length);
        this.#requestsAtMs.push(this.#nowMs);
        let gateway = this.#gateways[this.#callers[caller] ?? 0];
        if (gateway === undefined || !gateway.isUp(this.#nowMs)) {
            const index = this.#chooseGateway();
            if (this.#course.callersStay) {
                this.#callers[caller] = index;
            }
            gateway = this.#gateways[index];
        }
        if (gateway?.isUp(this.#nowMs) === true) {
            this.#deliver(gateway, this.#nowMs);
        }
    }

    /** Has the gateway read a request, at once or when it is no longer suspended. */
    #deliver(gateway: FleetGateway, sentAtMs: number): void {
        const { incarnation } = gateway;
        if (this.#nowMs < gateway.suspendedUntilMs) {
            this.#at(gateway.suspendedUntilMs, () => {
                if (gateway.incarnation === incarnation && this.#nowMs - sentAtMs <= unreadPatienceMs) {
                    this.#deliver(gateway, sentAtMs);
                }
            });
            return;
        }
        gateway.onRequest();
        const fails = this.#isWithin(this.#course.failures);
        if (fails || this.#random.next() < this.#course.hedgeShare) {
            this.#repeatAfter(gateway, fails ? maxExtraSends : 1, fails ? "retry" : "hedge");
        }
    }

    #repeatAfter(gateway: FleetGateway, sends: number, purpose: "retry" | "hedge"): void {
        const { incarnation } = gateway;
        const run = (): void => {
            if (gateway.incarnation !== incarnation) {
                return;
            }
            if (this.#nowMs < gateway.suspendedUntilMs) {
                this.#at(gateway.suspendedUntilMs, run);
                return;
            }
            if (!gateway.take(purpose, this.#knownGateways(gateway), this.#nowMs)) {
                return;
            }
            this.#repeatsAtMs.push(this.#arrivalAtMs(gateway));
            if (sends > 1) {
                this.#repeatAfter(gateway, sends - 1, purpose);
            }
        };
        this.#at(this.#nowMs + 10 + this.#random.next() * 100, run);
    }

    #arrivalAtMs({ index }: FleetGateway): number {
        const { heldLinks, sendDelayMs, gateways } = this.#course;
        const held = heldLinks.find(link => index < link.share * gateways && this.#isWithin([link]));
        return held === undefined ? this.#nowMs + this.#random.next() * sendDelayMs : held.untilMs;
    }

    /** @returns the gateways that it divides the budget by: those that have left count for a while */
    #knownGateways({ isCutOff }: FleetGateway): readonly string[] {
        const { atMs } = this.#course.joins;
        return isCutOff || this.#nowMs < atMs ? this.#firstNames : this.#allNames;
    }
}

function nameOf(index: number): string {
    return `gateway-${index}`;
}

/** @returns what callers and servers see of a fleet of gateways in that course */
export function simulateRepeats(course: FleetCourse): ObservedRepeats {
    return new RepeatSimulation(course).run();
}

/** The window in which the share of the allowance that was used is highest. */
export interface HighestUse {
    readonly fromMs: number;
    readonly repeats: number;
    readonly allowed: number;
}

/**
 * Finds the window with the highest use of the allowance. The requests that the ratio applies to are those of the
 * window, of the one before it or of the one half a window before it, whichever has most.
 */
export function findHighestUse(observed: ObservedRepeats, { ratio, slack, windowMs }: RepeatAllowance): HighestUse {
    const { requestsAtMs, repeatsAtMs } = observed;
    const countRequests = (fromMs: number): number =>
        lowerBound(requestsAtMs, fromMs + windowMs) - lowerBound(requestsAtMs, fromMs);
    let highest: HighestUse = { fromMs: 0, repeats: 0, allowed: slack };
    let end = 0;
    for (const [begin, fromMs] of repeatsAtMs.entries()) {
        while (end < repeatsAtMs.length && (repeatsAtMs[end] ?? 0) < fromMs + windowMs) {
            end++;
        }
        const requests = Math.max(
            countRequests(fromMs),
            countRequests(fromMs - windowMs / 2),
            countRequests(fromMs - windowMs),
        );
        const repeats = end - begin;
        const allowed = requests * ratio + slack;
        if (repeats / allowed > highest.repeats / highest.allowed) {
            highest = { fromMs, repeats, allowed };
        }
    }
    return highest;
}

/** @returns the number of sorted times before `atMs` */
function lowerBound(sortedMs: readonly number[], atMs: number): number {
    let low = 0;
    let high = sortedMs.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        if ((sortedMs[middle] ?? 0) < atMs) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
