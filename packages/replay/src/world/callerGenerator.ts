import { createRandomSource, type RandomSource } from "@galenaglade/routing";
import { CallerBehavior, type CallerBehaviorOverrides } from "./callerBehavior.js";
import { type EventQueue } from "./eventQueue.js";
import { type RequestKind, type Scenario } from "./scenario.js";
import { SimulatedCaller } from "./simulatedCaller.js";

/** Longest time between two looks at the rate, so that a burst begins on time. */
const rateCheckMs = 50;
/** Makes the load's random source another one than that of the servers. */
const loadSeedMask = 0x5eed;

/** Makes callers as an open load: they come at their rate whatever became of those before them. */
export class CallerGenerator {
    readonly behavior: CallerBehavior;
    readonly #scenario: Scenario;
    readonly #events: EventQueue;
    readonly #onArrival: (caller: SimulatedCaller) => void;
    /** A source of its own, so that variants of the policy meet the same load. */
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
        this.#scenario.requests.forEach(kind => this.#plan(kind));
    }

    #plan(kind: RequestKind): void {
        const perMs = kind.perSecond * this.behavior.factorOf(kind, this.#events.nowMs) / 1_000;
        const gapMs = -Math.log(1 - this.#random.next()) / Math.max(perMs, Number.MIN_VALUE);
        // Arrivals have no memory, so a gap that is too long may be drawn anew with the rate of a later moment.
        if (gapMs > rateCheckMs) {
            this.#events.schedule(rateCheckMs, () => this.#plan(kind));
            return;
        }
        this.#events.schedule(gapMs, () => {
            this.#onArrival(this.#create(kind));
            this.#plan(kind);
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
