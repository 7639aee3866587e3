import { type ServiceRules } from "@galenaglade/fleet-state";
import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import {
    type FleetSight,
    PlacementBoard,
    RepeatBudget,
    resolveComeBack,
    type SearchStep,
    ServerSearch,
} from "../../index.js";
import { ReplayServer, type ServerShape, usualShape } from "./replayServer.js";

/** Longest step of a replay; the work takes several of them. */
const longestStepMs = 5;
const stepsOfWork = 16;
/** Objective and patience of callers, as multiples of the work. */
const objectiveFactor = 2.5;
const patienceFactor = 12.5;
export const objectiveMs = usualShape.workMs * objectiveFactor;
export const patienceMs = usualShape.workMs * patienceFactor;
const zones = ["north", "middle", "south"];
const coldPerSecond = 4.2;
const repeats = { ratio: 0.2, slack: 58, windowMs: 10_000 };
const asksPerServerAndSecond = 60;
const rules: ServiceRules = {
    name: "tables",
    healthPath: "/health",
    maximumConnections: 200,
    coldRequestsPerSecond: coldPerSecond,
};
/** Sends of one request at most, those that were turned away included. */
const mostSends = 6;

/** One caller with its request, over all its tries. */
export interface ReplayCaller {
    readonly arrivedAtMs: number;
    /** Whether it comes back at once when it is refused, and again, whatever it was told. */
    readonly impatient: boolean;
    /** How long it waits. */
    readonly patienceMs: number;
    /** 0 is the most urgent. */
    readonly rank: number;
    answeredAtMs: number | undefined;
    tries: number;
}

interface Pending {
    readonly caller: ReplayCaller;
    readonly arrivedAtMs: number;
    sends: number;
    search: ServerSearch;
    /** When it looks for a server again. */
    lookAtMs: number;
}

interface Gateway {
    readonly name: string;
    readonly availabilityZone: string;
    board: PlacementBoard;
    repeats: RepeatBudget;
    pending: Pending[];
    downUntilMs: number;
}

/** A load that is replayed on the decisions, without I/O and on a clock of its own. */
export interface ReplayInput {
    readonly seed: number;
    readonly gateways: number;
    readonly servers: number;
    readonly forMs: number;
    /** What the servers are like; by default three slots, and a fourth of them slow at any moment. */
    readonly shape?: Partial<ServerShape>;
    /** Requests a second at a time. */
    readonly load: (nowMs: number) => number;
    /** Share of the callers who repeat at once and often. */
    readonly impatientShare?: number;
    /** How long a caller waits; by default two seconds. */
    readonly resolvePatienceMs?: (random: RandomSource, nowMs: number) => number;
    /** Rank of the next request; by default all are alike. */
    readonly resolveRank?: (random: RandomSource) => number;
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
    readonly #shape: ServerShape;
    readonly #stepMs: number;
    readonly #objectiveMs: number;
    readonly #patienceMs: number;
    #now = 0;
    readonly #returning: { readonly atMs: number; readonly caller: ReplayCaller; }[] = [];

    constructor(input: ReplayInput) {
        this.#input = input;
        this.#random = createRandomSource(input.seed);
        this.#shape = { ...usualShape, ...input.shape };
        this.#stepMs = Math.min(longestStepMs, this.#shape.workMs / stepsOfWork);
        this.#objectiveMs = this.#shape.workMs * objectiveFactor;
        this.#patienceMs = this.#shape.workMs * patienceFactor;
        this.servers = Array.from(
            { length: input.servers },
            (_, i) => new ReplayServer(`server-${i}`, zones[i % zones.length] ?? "", this.#random, this.#shape),
        );
        this.#gateways = Array.from({ length: input.gateways }, (_, i) => this.#createGateway(`gateway-${i}`, i));
    }

    /** Plays the load to its end. */
    run(): this {
        const { forMs, load, onStep } = this.#input;
        for (let nowMs = 0; nowMs < forMs; nowMs += this.#stepMs) {
            onStep?.(this, nowMs);
            this.#arrive(load(nowMs), nowMs);
            for (const gateway of this.#gateways) {
                this.#decide(gateway, nowMs);
            }
            for (const server of this.servers) {
                server.step(this.#stepMs);
            }
            this.#now = nowMs + this.#stepMs;
        }
        return this;
    }

    /** Restarts a share of the gateways: what they know and have is gone. */
    restart(share: number, nowMs: number, downMs: number): void {
        for (const gateway of this.#gateways.slice(0, Math.round(this.#gateways.length * share))) {
            for (const { caller } of gateway.pending) {
                this.#returning.push({ atMs: nowMs + this.#stepMs, caller });
            }
            const life = this.#createLife(gateway.name, gateway.availabilityZone, nowMs);
            Object.assign(gateway, life, { pending: [], downUntilMs: nowMs + downMs });
        }
    }

    /** @returns the share answered within the objective of those who came in a time */
    shareInTime(fromMs: number, toMs: number): number {
        const came = this.callers.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < toMs);
        const inTime = came.filter(({ arrivedAtMs, answeredAtMs }) =>
            answeredAtMs !== undefined && answeredAtMs - arrivedAtMs <= this.#objectiveMs
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
            pending: [],
            downUntilMs: -Infinity,
            // What was saved and spent before the replayed time is as after a calm time.
            ...this.#createLife(name, zones[i % zones.length] ?? "", -repeats.windowMs),
        };
    }

    #createLife(name: string, availabilityZone: string, startedAtMs: number): Pick<Gateway, "board" | "repeats"> {
        const random = this.#random;
        return {
            board: new PlacementBoard({ name, availabilityZone, random, asksPerServerAndSecond, startedAtMs }),
            repeats: new RepeatBudget(repeats, startedAtMs),
        };
    }

    #arrive(perSecond: number, nowMs: number): void {
        for (let expected = perSecond * this.#stepMs / 1_000; expected > 0; expected--) {
            if (this.#random.next() >= expected) {
                continue;
            }
            const caller: ReplayCaller = {
                arrivedAtMs: nowMs,
                impatient: this.#random.next() < (this.#input.impatientShare ?? 0),
                patienceMs: this.#input.resolvePatienceMs?.(this.#random, nowMs) ?? this.#patienceMs,
                rank: this.#input.resolveRank?.(this.#random) ?? 0,
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
        gateway.repeats.onRequest(rules.name, nowMs);
        gateway.board.onRequest(rules.name, caller.rank, nowMs);
        const search = this.#createSearch(gateway, caller, nowMs);
        gateway.pending.push({ caller, arrivedAtMs: nowMs, sends: 0, search, lookAtMs: nowMs });
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

    #createSearch(gateway: Gateway, caller: ReplayCaller, nowMs: number): ServerSearch {
        return new ServerSearch(gateway.board, {
            rules,
            objectiveMs: this.#objectiveMs,
            rank: caller.rank,
            arrivedAtMs: nowMs,
            cutoffMs: caller.arrivedAtMs + caller.patienceMs,
            excluded: new Set(),
            onlyGood: false,
        });
    }

    #place(gateway: Gateway, pending: Pending, nowMs: number): void {
        if (nowMs < pending.lookAtMs) {
            gateway.pending.push(pending);
            return;
        }
        const usable = this.#usable();
        const byId = new Map(usable.map(server => [server.registered.id, server]));
        const sight: FleetSight = {
            usable: usable.map(server => server.registered),
            gateways: this.#gateways.map(({ name }) => name),
            sinceContactMs: 0,
            nowMs,
        };
        const step = this.#askUntilDecided(gateway, pending.search, sight, byId);
        switch (step.type) {
            case "pause":
                pending.lookAtMs = nowMs + step.forMs;
                gateway.pending.push(pending);
                return;
            case "refuse":
                this.#refuse(pending.caller, "full", nowMs);
                return;
            case "send": {
                const server = byId.get(step.server.id);
                if (server !== undefined) {
                    this.#send(gateway, pending, server, nowMs);
                }
            }
        }
    }

    #askUntilDecided(
        gateway: Gateway,
        search: ServerSearch,
        sight: FleetSight,
        byId: ReadonlyMap<string, ReplayServer>,
    ): Exclude<SearchStep, { readonly type: "ask"; }> {
        for (;;) {
            const step = search.step(sight);
            if (step.type !== "ask") {
                return step;
            }
            for (const { id } of step.servers) {
                const server = byId.get(id);
                if (server !== undefined) {
                    server.questions++;
                    gateway.board.onOffer(rules.name, server.offer(sight.nowMs), sight.nowMs);
                }
            }
        }
    }

    #send(gateway: Gateway, pending: Pending, server: ReplayServer, nowMs: number): void {
        const { caller } = pending;
        if (pending.sends > 0) {
            this.repeated++;
        }
        pending.sends++;
        const taken = server.arrive({
            onDone: () => {
                caller.answeredAtMs ??= this.#now + this.#stepMs;
                const { load } = server.offer(this.#now);
                if (load !== undefined) {
                    gateway.board.onLoad(rules.name, server.registered, load, this.#now);
                }
            },
            isAbandoned: () => this.#now - caller.arrivedAtMs >= caller.patienceMs,
        }, nowMs);
        if (taken) {
            return;
        }
        const mayRepeat = pending.sends < mostSends
            && gateway.repeats.take(rules.name, "retry", this.#gateways.length, nowMs);
        if (mayRepeat) {
            pending.search = this.#createSearch(gateway, caller, pending.arrivedAtMs);
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
        const afterMs = caller.impatient ? 0 : resolveComeBack(cause, this.#shape.workMs, this.#random) * 1_000;
        this.#returning.push({ atMs: nowMs + Math.max(this.#stepMs, afterMs), caller });
    }
}
