import { type Clock } from "@galenaglade/http-parts";
import { hostPauseThresholdMs } from "../constants.js";

/**
 * Detects that this host was suspended: its monotonic clock stopped while the wall clock went on. A change of the wall
 * clock looks the same, which costs the caller of {@link HostPauseDetector.check} no more than one unneeded refresh.
 */
export class HostPauseDetector {
    readonly #clock: Clock;
    #clockOffsetMs: number;

    constructor(clock: Clock) {
        this.#clock = clock;
        this.#clockOffsetMs = this.#readClockOffset();
    }

    /** @returns how long the host was suspended since the last check, in milliseconds; `undefined` if it wasn't */
    check(): number | undefined {
        const offsetMs = this.#readClockOffset();
        const pausedMs = offsetMs - this.#clockOffsetMs;
        this.#clockOffsetMs = offsetMs;
        return Math.abs(pausedMs) > hostPauseThresholdMs ? pausedMs : undefined;
    }

    #readClockOffset(): number {
        return this.#clock.epochMs() - this.#clock.monotonicMs();
    }
}
