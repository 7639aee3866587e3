import { type Clock } from "@galenaglade/http-parts";
import { hostPauseThresholdMs } from "../constants.js";

/**
 * Notices that this host stood still: its steady clock stood still with it, and its time of day went on. Setting the time
 * of day looks the same, and costs whoever asks no more than one call too many.
 */
export class HostPauseDetector {
    readonly #clock: Clock;
    #skewMs: number;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#skewMs = this.#readSkew();
    }

    /** @returns for how long it stood still since this was asked last, in milliseconds; `undefined` where it didn't */
    check(): number | undefined {
        const skewMs = this.#readSkew();
        const stoodMs = skewMs - this.#skewMs;
        this.#skewMs = skewMs;
        return Math.abs(stoodMs) > hostPauseThresholdMs ? stoodMs : undefined;
    }

    #readSkew(): number {
        return this.#clock.epochMs() - this.#clock.monotonicMs();
    }
}
