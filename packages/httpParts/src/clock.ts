/** Where the gateway's time comes from; tests move one of their own. */
export interface Clock {
    /** Milliseconds that never step back. */
    monotonicMs(): number;
    /** Wall-clock milliseconds, for patience by time of day only. */
    epochMs(): number;
}

/** The machine's clocks. */
export const systemClock: Clock = {
    monotonicMs: () => performance.now(),
    epochMs: () => Date.now(),
};
