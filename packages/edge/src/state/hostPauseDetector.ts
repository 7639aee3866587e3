import { type Clock } from "@galenaglade/http-parts";
import { hostPauseThresholdMs } from "../constants.js";

/**
 * Detects that this host was suspended: its monotonic clock stopped while the wall clock went on. A change of the wall
 * clock looks the same, which costs the caller of {@link HostPauseDetector.check} no more than one unneeded refresh.
 */
export class HostPauseDetector {
    readonly #clock: Clock;
    #skewMs: number;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#skewMs = this.#readSkew();
    }

    /** @returns how long the host was suspended since the last check, in milliseconds; `undefined` if it wasn't */
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
