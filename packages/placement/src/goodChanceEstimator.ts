import { initialGoodShare, minSampleWeight, priorSamples } from "./constants.js";

/** The previous observation of a server. */
export interface PreviousObservation {
    readonly wasGood: boolean;
    readonly ageMs: number;
}

/** A range of observation ages, with the learned shares of servers that were good afterwards. */
interface AgeBand {
    /** Exclusive upper bound of the age. */
    readonly belowMs: number;
    readonly afterGood: LearnedShare;
    readonly afterPoor: LearnedShare;
}

/** Initial estimates: a fresh observation is nearly certain, and an old one carries no information. */
const initialBands = [
    { belowMs: 25, afterGood: 0.96, afterPoor: 0.08 },
    { belowMs: 60, afterGood: 0.9, afterPoor: 0.2 },
    { belowMs: 120, afterGood: 0.85, afterPoor: 0.35 },
    { belowMs: 300, afterGood: 0.8, afterPoor: 0.5 },
    { belowMs: Infinity, afterGood: 0.75, afterPoor: 0.65 },
] as const;

/**
 * Estimates the probability that a backend server is good now from its last observation and its age. How long an
 * observation stays valid differs between services and over the day, so it is learned from consecutive observations
 * of the same server.
 */
export class GoodChanceEstimator {
    readonly #bands: readonly AgeBand[] = initialBands.map(({ belowMs, afterGood, afterPoor }) => ({
        belowMs,
        afterGood: new LearnedShare(afterGood),
        afterPoor: new LearnedShare(afterPoor),
    }));
    readonly #overall = new LearnedShare(initialGoodShare);

    /** Records an observation of a server. @param previous - the server's previous observation, if any */
    onObservation(isGood: boolean, previous: PreviousObservation | undefined): void {
        this.#overall.addSample(isGood);
        if (previous !== undefined) {
            this.#shareAfter(previous)?.addSample(isGood);
        }
    }

    /** @returns the probability that a server is good, from 0 to 1 */
    goodChanceOf(previous: PreviousObservation | undefined): number {
        const share = previous === undefined ? this.#overall : this.#shareAfter(previous);
        return (share ?? this.#overall).value;
    }

    #shareAfter({ wasGood, ageMs }: PreviousObservation): LearnedShare | undefined {
        for (const band of this.#bands) {
            if (ageMs < band.belowMs) {
                return wasGood ? band.afterGood : band.afterPoor;
            }
        }
        return undefined;
    }
}

/** A moving average of recent samples that starts from an initial estimate with the weight of some samples. */
class LearnedShare {
    #value: number;
    #samples = priorSamples;

    constructor(initial: number) {
        this.#value = initial;
    }

    get value(): number {
        return this.#value;
    }

    addSample(isGood: boolean): void {
        this.#samples++;
        const weight = Math.max(minSampleWeight, 1 / this.#samples);
        this.#value += ((isGood ? 1 : 0) - this.#value) * weight;
    }
}
