import {
    FleetReplay,
    zeroCosts,
    type Scenario,
    type ServerShape,
    type SimulatedCaller,
    type SimulatedServer,
} from "@galenaglade/replay";
import { type RandomSource } from "@galenaglade/routing";

/** Shape of the simulated servers. */
export interface TestServerShape {
    readonly slots: number;
    /** Usual time of the work of a request in milliseconds. */
    readonly workMs: number;
    /** Share of the servers that is slow at any moment, by which factor, and the mean time between changes. */
    readonly slowShare: number;
    readonly slowFactor: number;
    readonly shiftMs: number;
}

export const defaultShape: TestServerShape = { slots: 3, workMs: 160, slowShare: 0.25, slowFactor: 4, shiftMs: 300 };

/** Objective and timeout of callers, as multiples of the work. */
const objectiveFactor = 2.5;
const patienceFactor = 12.5;
export const objectiveMs = defaultShape.workMs * objectiveFactor;
export const patienceMs = defaultShape.workMs * patienceFactor;
const zones = ["north", "middle", "south"];
/** Maximum number of requests queued at a server, per slot. */
const queuedPerSlot = 2;
/** Factor on the work time at a server whose slots are all taken. */
const fullFactor = 1.7;
const workSpread = 0.3;
const service = "tables";
const impatientTries = 3;

/** A load that is replayed on the placement logic alone: the event loop and the network take no time. */
export interface ReplayInput {
    readonly seed: number;
    readonly gateways: number;
    readonly servers: number;
    readonly forMs: number;
    /** Shape of the servers; by default three slots, and a quarter of the servers slow at any moment. */
    readonly shape?: Partial<TestServerShape>;
    /** Requests per second at a point in time. */
    readonly load: (nowMs: number) => number;
    /** Share of the callers that retry at once, several times. */
    readonly impatientShare?: number;
    /** Timeout of a caller; by default two seconds. */
    readonly resolvePatienceMs?: (random: RandomSource, nowMs: number) => number;
    /** Priority of the next request; by default all have the same. */
    readonly resolvePriority?: (random: RandomSource) => number;
    /** Called before each step, to change the scenario. */
    readonly onStep?: (fleet: ReplayFleet, nowMs: number) => void;
    /** Sends to a random server at once and never rejects, as the baseline against which a gain is measured. */
    readonly randomPlacement?: boolean;
}

const stepMs = 5;

/** Simulated gateways and backend servers under a replayed load. */
export class ReplayFleet {
    readonly #fleet: FleetReplay;

    constructor(input: ReplayInput) {
        const { load, resolvePatienceMs, resolvePriority, onStep, impatientShare = 0 } = input;
        this.#fleet = new FleetReplay(createScenario(input), {
            callerBehavior: {
                rateFactor: load,
                ...resolvePatienceMs === undefined ? {} : { resolvePatienceMs },
                ...resolvePriority === undefined ? {} : { resolvePriority },
            },
            onTick: { everyMs: stepMs, run: (_, nowMs) => onStep?.(this, nowMs) },
        });
        this.#fleet.callerGenerator.behavior.impatience.add({ share: impatientShare, tries: impatientTries });
    }

    get servers(): readonly SimulatedServer[] {
        return this.#fleet.servers;
    }

    get callers(): readonly SimulatedCaller[] {
        return this.#fleet.callers;
    }

    /** Number of tries of all callers. */
    get tries(): number {
        return this.#fleet.tries;
    }

    /** Arrivals at servers beyond the first of each try. */
    get repeatedArrivals(): number {
        return this.#fleet.gateways.reduce((sum, { repeatedArrivals }) => sum + repeatedArrivals, 0);
    }

    /** Replays the load to its end. */
    run(): this {
        this.#fleet.run();
        return this;
    }

    setZoneOut(zone: string, out: boolean): void {
        this.#fleet.directory.setZoneOut(zone, out);
    }

    /** Restarts a share of the gateways, which lose their state and requests. */
    restart(share: number, downMs: number): void {
        this.#fleet.restartGateways(share, downMs);
    }

    /** @returns the share of the callers that arrived in a period and were served within the objective */
    shareInTime(fromMs: number, toMs: number): number {
        const arrived = this.#arrivedBetween(fromMs, toMs);
        return arrived.filter(caller => caller.isWithinObjective).length / arrived.length;
    }

    /** @returns the share of the callers that arrived in a period and were served at all */
    shareServed(fromMs: number, toMs: number): number {
        const arrived = this.#arrivedBetween(fromMs, toMs);
        return arrived.filter(({ answeredAtMs }) => answeredAtMs !== undefined).length / arrived.length;
    }

    #arrivedBetween(fromMs: number, toMs: number): readonly SimulatedCaller[] {
        return this.callers.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < toMs);
    }
}

function createScenario({ seed, gateways, servers, forMs, shape, randomPlacement = false }: ReplayInput): Scenario {
    const own = { ...defaultShape, ...shape };
    return {
        name: "load",
        seed,
        durationMs: forMs,
        windowMs: 1_000,
        zones,
        gateways: [{ count: gateways, cores: 1 }],
        services: [{ name: service, servers, coldPerSecond: 4.2, shape: createShape(own) }],
        requests: [{
            name: service,
            service,
            // Multiplied by the callers' rate factor, which is the load.
            perSecond: 1,
            workMs: own.workMs,
            workSpread,
            objectiveMs: own.workMs * objectiveFactor,
            timeoutMs: own.workMs * patienceFactor,
            patienceMs: own.workMs * patienceFactor,
            idempotent: false,
            priority: 0,
            retries: 1,
        }],
        costs: zeroCosts,
        repeats: { ratio: 0.2, slack: 58, windowMs: 10_000 },
        probesPerServerAndSecond: 60,
        unknownGateways: 0,
        events: [],
        policy: {},
        randomPlacement,
        holdsAtStart: true,
    };
}

function createShape({ slots, slowShare, slowFactor, shiftMs }: TestServerShape): ServerShape {
    return {
        slots,
        queue: slots * queuedPerSlot,
        kneeShare: 1,
        kneeFactor: fullFactor,
        slowShare,
        slowFactor,
        shiftMs,
        coldFactor: 1,
        onFull: "refuse",
    };
}
