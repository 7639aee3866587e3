/** Source of time; tests use a clock that they advance themselves. */
export interface Clock {
    /** Monotonic time in milliseconds. */
    monotonicMs(): number;
    /** Unix time in milliseconds; used only for patience rules by time of day. */
    epochMs(): number;
}

/** The system clocks. */
export const systemClock: Clock = {
    monotonicMs: () => performance.now(),
    epochMs: () => Date.now(),
};
