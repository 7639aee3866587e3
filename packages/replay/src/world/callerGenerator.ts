import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { CallerBehavior, type CallerBehaviorOverrides } from "./callerBehavior.js";
import { type EventQueue } from "./eventQueue.js";
import { type RequestKind, type Scenario } from "./scenario.js";
import { SimulatedCaller } from "./simulatedCaller.js";

/** Maximum time between two evaluations of the request rate, so that a burst starts on time. */
const maxRateCheckIntervalMs = 50;
/** Derives a seed for the load that differs from that of the servers. */
const loadSeedMask = 0x5eed;

/** Generates callers as an open-loop load: they arrive at a given rate, independently of earlier callers' outcomes. */
export class CallerGenerator {
    readonly behavior: CallerBehavior;
    readonly #scenario: Scenario;
    readonly #events: EventQueue;
    readonly #onArrival: (caller: SimulatedCaller) => void;
    /** Separate random source, so that all policy variants get the same load. */
    readonly #random: RandomSource;

    constructor(
        scenario: Scenario,
        events: EventQueue,
        overrides: CallerBehaviorOverrides,
        onArrival: (caller: SimulatedCaller) => void,
    ) {
        this.#scenario = scenario;
        this.#events = events;
        this.#onArrival = onArrival;
        this.#random = createRandomSource(scenario.seed ^ loadSeedMask);
        this.behavior = new CallerBehavior(scenario.zones, overrides);
    }

    start(): void {
        this.#scenario.requests.forEach(kind => this.#scheduleNext(kind));
    }

    #scheduleNext(kind: RequestKind): void {
        const perMs = kind.perSecond * this.behavior.factorOf(kind, this.#events.nowMs) / 1_000;
        const gapMs = -Math.log(1 - this.#random.next()) / Math.max(perMs, Number.MIN_VALUE);
        // Exponential gaps are memoryless, so a gap over the maximum may be drawn again later with the current rate.
        if (gapMs > maxRateCheckIntervalMs) {
            this.#events.schedule(maxRateCheckIntervalMs, () => this.#scheduleNext(kind));
            return;
        }
        this.#events.schedule(gapMs, () => {
            this.#onArrival(this.#create(kind));
            this.#scheduleNext(kind);
        });
    }

    #create(kind: RequestKind): SimulatedCaller {
        const random = this.#random;
        const { nowMs } = this.#events;
        const impatientTries = this.behavior.drawImpatientTries(random);
        return new SimulatedCaller({
            kind: { ...kind, priority: this.behavior.drawPriority(kind, random) },
            workMs: kind.workMs * (1 + kind.workSpread * (2 * random.next() - 1)),
            arrivedAtMs: nowMs,
            patienceMs: this.behavior.drawPatienceMs(kind, random, nowMs),
            retriesImmediately: impatientTries !== undefined,
            maxTries: 1 + (impatientTries ?? kind.retries),
            zone: this.behavior.drawZone(random),
        });
    }
}
