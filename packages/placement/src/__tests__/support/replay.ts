import { type RegisteredServer } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import {
    AskBudget,
    askedFirst,
    choosePlacement,
    ColdAdmission,
    type ColdInput,
    orderToAsk,
    RepeatBudget,
    resolveComeBack,
    scoreServer,
    ServerSubset,
    waitShare,
} from "../../index.js";
import { ReplayServer, workMs } from "./replayServer.js";

const stepMs = 5;
export const objectiveMs = 400;
export const patienceMs = 2_000;
const zones = ["north", "middle", "south"];
const coldPerSecond = 4.2;
const repeats = { ratio: 0.2, slack: 58, windowMs: 10_000 };
const asksPerServerAndSecond = 60;
/** Sends of one request at most, those that were turned away included. */
const mostSends = 6;

/** One caller with its request, over all its tries. */
export interface ReplayCaller {
    readonly arrivedAtMs: number;
    /** Whether it comes back at once when it is refused, and again, whatever it was told. */
    readonly impatient: boolean;
    /** How long it waits. */
    readonly patienceMs: number;
    answeredAtMs: number | undefined;
    tries: number;
}

interface Pending {
    readonly caller: ReplayCaller;
    readonly arrivedAtMs: number;
    sends: number;
}

interface Gateway {
    readonly name: string;
    readonly availabilityZone: string;
    asks: AskBudget;
    repeats: RepeatBudget;
    cold: ColdAdmission;
    readonly subset: ServerSubset;
    pending: Pending[];
    downUntilMs: number;
}

/** A load that is replayed on the decisions, without I/O and on a clock of its own. */
export interface ReplayInput {
    readonly seed: number;
    readonly gateways: number;
    readonly servers: number;
    readonly forMs: number;
    /** Requests a second at a time. */
    readonly load: (nowMs: number) => number;
    /** Share of the callers who repeat at once and often. */
    readonly impatientShare?: number;
    /** How long a caller waits; by default two seconds. */
    readonly resolvePatienceMs?: (random: RandomSource, nowMs: number) => number;
    /** Called before each step, to change what the load is about. */
    readonly onStep?: (fleet: ReplayFleet, nowMs: number) => void;
    /** Sends to any server at once and never refuses, in place of the decisions: what a gain is measured against. */
    readonly blind?: boolean;
}

/** Gateways and backend servers of a replayed load. */
export class ReplayFleet {
    readonly servers: readonly ReplayServer[];
    readonly callers: ReplayCaller[] = [];
    /** Zones that are out. */
    readonly zonesOut = new Set<string>();
    /** Arrivals at servers beyond the first of each try. */
    repeated = 0;
    /** Tries of all callers. */
    tries = 0;
    readonly #input: ReplayInput;
    readonly #random: RandomSource;
    readonly #gateways: readonly Gateway[];
    #now = 0;
    readonly #returning: { readonly atMs: number; readonly caller: ReplayCaller; }[] = [];

    constructor(input: ReplayInput) {
        this.#input = input;
        this.#random = createRandomSource(input.seed);
        this.servers = Array.from(
            { length: input.servers },
            (_, i) => new ReplayServer(`server-${i}`, zones[i % zones.length] ?? "", this.#random),
        );
        this.#gateways = Array.from({ length: input.gateways }, (_, i) => this.#createGateway(`gateway-${i}`, i));
    }

    /** Plays the load to its end. */
    run(): this {
        const { forMs, load, onStep } = this.#input;
        for (let nowMs = 0; nowMs < forMs; nowMs += stepMs) {
            onStep?.(this, nowMs);
            this.#arrive(load(nowMs), nowMs);
            for (const gateway of this.#gateways) {
                this.#decide(gateway, nowMs);
            }
            for (const server of this.servers) {
                server.step(stepMs);
            }
            this.#now = nowMs + stepMs;
        }
        return this;
    }

    /** Restarts a share of the gateways: what they know and have is gone. */
    restart(share: number, nowMs: number, downMs: number): void {
        for (const gateway of this.#gateways.slice(0, Math.round(this.#gateways.length * share))) {
            for (const { caller } of gateway.pending) {
                this.#returning.push({ atMs: nowMs + stepMs, caller });
            }
            Object.assign(gateway, this.#createLife(gateway.name, nowMs), { pending: [], downUntilMs: nowMs + downMs });
        }
    }

    /** @returns the share answered within the objective of those who came in a time */
    shareInTime(fromMs: number, toMs: number): number {
        const came = this.callers.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < toMs);
        const inTime = came.filter(({ arrivedAtMs, answeredAtMs }) =>
            answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= objectiveMs
        );
        return inTime.length / came.length;
    }

    /** @returns the share answered at all of those who came in a time */
    shareServed(fromMs: number, toMs: number): number {
        const came = this.callers.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < toMs);
        return came.filter(({ answeredAtMs }) => answeredAtMs !== undefined).length / came.length;
    }

    #createGateway(name: string, i: number): Gateway {
        return {
            name,
            availabilityZone: zones[i % zones.length] ?? "",
            subset: new ServerSubset(name),
            pending: [],
            downUntilMs: -Infinity,
            // What was saved and spent before the replayed time is as after a calm time.
            ...this.#createLife(name, -repeats.windowMs),
        };
    }

    #createLife(name: string, startedAtMs: number): Pick<Gateway, "asks" | "repeats" | "cold"> {
        return {
            asks: new AskBudget(asksPerServerAndSecond),
            repeats: new RepeatBudget(repeats, startedAtMs),
            cold: new ColdAdmission(name),
        };
    }

    #arrive(perSecond: number, nowMs: number): void {
        for (let expected = perSecond * stepMs / 1_000; expected > 0; expected--) {
            if (this.#random.next() >= expected) {
                continue;
            }
            const caller: ReplayCaller = {
                arrivedAtMs: nowMs,
                impatient: this.#random.next() < (this.#input.impatientShare ?? 0),
                patienceMs: this.#input.resolvePatienceMs?.(this.#random, nowMs) ?? patienceMs,
                answeredAtMs: undefined,
                tries: 0,
            };
            this.callers.push(caller);
            this.#try(caller, nowMs);
        }
        const due = this.#returning.filter(({ atMs }) => atMs <= nowMs);
        this.#returning.splice(0, this.#returning.length, ...this.#returning.filter(({ atMs }) => atMs > nowMs));
        for (const { caller } of due) {
            this.#try(caller, nowMs);
        }
    }

    #try(caller: ReplayCaller, nowMs: number): void {
        const up = this.#gateways.filter(({ downUntilMs }) => nowMs >= downUntilMs);
        const gateway = up[this.#random.below(up.length)];
        if (gateway === undefined || nowMs - caller.arrivedAtMs >= caller.patienceMs) {
            return;
        }
        caller.tries++;
        this.tries++;
        gateway.repeats.onRequest("tables", nowMs);
        gateway.pending.push({ caller, arrivedAtMs: nowMs, sends: 0 });
    }

    #usable(): readonly ReplayServer[] {
        return this.servers.filter(({ registered }) => !this.zonesOut.has(registered.availabilityZone));
    }

    #decide(gateway: Gateway, nowMs: number): void {
        if (nowMs < gateway.downUntilMs) {
            return;
        }
        for (const pending of gateway.pending.splice(0)) {
            if (nowMs - pending.caller.arrivedAtMs >= pending.caller.patienceMs) {
                continue;
            }
            if (this.#input.blind === true) {
                this.#sendBlind(gateway, pending, nowMs);
                continue;
            }
            this.#place(gateway, pending, nowMs);
        }
    }

    #sendBlind(gateway: Gateway, pending: Pending, nowMs: number): void {
        const usable = this.#usable();
        const server = usable[this.#random.below(usable.length)];
        if (server !== undefined) {
            this.#send(gateway, pending, server, nowMs);
        }
    }

    #place(gateway: Gateway, pending: Pending, nowMs: number): void {
        const usable = this.#usable();
        const ordered = this.#order(gateway, usable);
        const waitedMs = nowMs - pending.arrivedAtMs;
        const purpose = waitedMs === 0 || waitedMs >= objectiveMs * waitShare ? "arrival" : "waiting";
        const asked: ReplayServer[] = [];
        for (let unasked = ordered;;) {
            const wanted = Math.min(askedFirst, unasked.length);
            const wave = gateway.asks.take({
                ordered: unasked,
                purpose,
                wanted,
                gateways: this.#gateways.length,
                nowMs,
            });
            asked.push(...wave);
            unasked = wave.length < wanted ? [] : unasked.filter(server => !wave.includes(server));
            if (asked.length === 0) {
                gateway.pending.push(pending);
                return;
            }
            const decision = choosePlacement({
                scores: this.#score(gateway, asked, nowMs),
                hasUnasked: unasked.length > 0,
                waitedMs,
                objectiveMs,
                remainingMs: pending.caller.arrivedAtMs + pending.caller.patienceMs - nowMs,
                typicalMs: workMs,
            });
            switch (decision.type) {
                case "widen":
                    continue;
                case "wait":
                    gateway.pending.push(pending);
                    return;
                case "refuse":
                    this.#refuse(pending.caller, "full", nowMs);
                    return;
                case "send": {
                    const server = asked.find(each => each.registered.id === decision.score.offer.serverId);
                    if (server !== undefined) {
                        this.#send(gateway, pending, server, nowMs);
                    }
                    return;
                }
            }
        }
    }

    #order(gateway: Gateway, usable: readonly ReplayServer[]): readonly ReplayServer[] {
        const registered = usable.map(server => server.registered);
        const own = registered.filter(({ availabilityZone }) => availabilityZone === gateway.availabilityZone);
        const ordered = orderToAsk({
            servers: registered,
            availabilityZone: gateway.availabilityZone,
            subset: gateway.subset.of(own),
            isSuspect: () => false,
            random: this.#random,
        });
        const byId = new Map<string, ReplayServer>(usable.map(server => [server.registered.id, server]));
        return ordered.flatMap(({ id }: RegisteredServer) => byId.get(id) ?? []);
    }

    #score(gateway: Gateway, asked: readonly ReplayServer[], nowMs: number): ReturnType<typeof scoreServer>[] {
        return asked
            .map(server => server.offer(nowMs))
            .filter(offer => offer.coldRemainingMs <= 0 || gateway.cold.mayTake(this.#coldInput(offer.serverId, nowMs)))
            .map(offer =>
                scoreServer(offer, {
                    typicalMs: workMs,
                    sentSince: 0,
                    sameZone: offer.availabilityZone === gateway.availabilityZone,
                    suspect: false,
                })
            );
    }

    #coldInput(serverId: string, nowMs: number): ColdInput {
        return {
            serverId,
            requestsPerSecond: coldPerSecond,
            gateways: this.#gateways.map(({ name }) => name),
            sinceContactMs: 0,
            nowMs,
        };
    }

    #send(gateway: Gateway, pending: Pending, server: ReplayServer, nowMs: number): void {
        const { caller } = pending;
        if (pending.sends > 0) {
            this.repeated++;
        }
        pending.sends++;
        if (nowMs < server.coldUntilMs) {
            gateway.cold.onSend(this.#coldInput(server.registered.id, nowMs));
        }
        const taken = server.arrive({
            onDone: () => {
                caller.answeredAtMs ??= this.#now + stepMs;
            },
            isAbandoned: () => this.#now - caller.arrivedAtMs >= caller.patienceMs,
        }, nowMs);
        if (taken) {
            return;
        }
        const mayRepeat = pending.sends < mostSends
            && gateway.repeats.take("tables", "retry", this.#gateways.length, nowMs);
        if (mayRepeat) {
            gateway.pending.push(pending);
            return;
        }
        this.#refuse(caller, "turnedAway", nowMs);
    }

    #refuse(caller: ReplayCaller, cause: "full" | "turnedAway", nowMs: number): void {
        const mostTries = caller.impatient ? 4 : 2;
        if (caller.tries >= mostTries) {
            return;
        }
        const afterMs = caller.impatient ? 0 : resolveComeBack(cause, workMs, this.#random) * 1_000;
        this.#returning.push({ atMs: nowMs + Math.max(stepMs, afterMs), caller });
    }
}
