import { initialGoodShare, minSampleWeight, priorSamples } from "./constants.js";

/** What was seen of a server before it was looked at again. */
export interface PreviousObservation {
    readonly wasGood: boolean;
    readonly ageMs: number;
}

/** One span of ages, with the share of servers that were good at its end. */
interface AgeBand {
    /** End of the span, not included. */
    readonly belowMs: number;
    readonly afterGood: LearntShare;
    readonly afterPoor: LearntShare;
}

/** Shares to begin with, before anything was learnt: a look is worth nearly everything at once, and nothing in the end. */
const initialBands = [
    { belowMs: 25, afterGood: 0.96, afterPoor: 0.08 },
    { belowMs: 60, afterGood: 0.9, afterPoor: 0.2 },
    { belowMs: 120, afterGood: 0.85, afterPoor: 0.35 },
    { belowMs: 300, afterGood: 0.8, afterPoor: 0.5 },
    { belowMs: Infinity, afterGood: 0.75, afterPoor: 0.65 },
] as const;

/**
 * How likely a backend server is good now, by what was last seen of it and how long ago. How long a figure stays true
 * differs from service to service and from hour to hour, so it is learnt from pairs of looks at the same server.
 */
export class GoodChanceEstimator {
    readonly #bands: readonly AgeBand[] = initialBands.map(({ belowMs, afterGood, afterPoor }) => ({
        belowMs,
        afterGood: new LearntShare(afterGood),
        afterPoor: new LearntShare(afterPoor),
    }));
    readonly #unseen = new LearntShare(initialGoodShare);

    /** A server was looked at. @param before - the look before, where there was one */
    onObservation(isGood: boolean, before: PreviousObservation | undefined): void {
        this.#unseen.learn(isGood);
        if (before !== undefined) {
            this.#share(before)?.learn(isGood);
        }
    }

    /** @returns the chance that a server is good, from 0 to 1 */
    goodChanceOf(before: PreviousObservation | undefined): number {
        const share = before === undefined ? this.#unseen : this.#share(before);
        return (share ?? this.#unseen).value;
    }

    #share({ wasGood, ageMs }: PreviousObservation): LearntShare | undefined {
        for (const band of this.#bands) {
            if (ageMs < band.belowMs) {
                return wasGood ? band.afterGood : band.afterPoor;
            }
        }
        return undefined;
    }
}

/** A share that follows what was seen lately, and begins from a guess that counts like some samples. */
class LearntShare {
    #value: number;
    #samples = priorSamples;

    constructor(initial: number) {
        this.#value = initial;
    }

    get value(): number {
        return this.#value;
    }

    learn(isGood: boolean): void {
        this.#samples++;
        const weight = Math.max(minSampleWeight, 1 / this.#samples);
        this.#value += ((isGood ? 1 : 0) - this.#value) * weight;
    }
}
