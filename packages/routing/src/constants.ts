/** How many candidates a sampling policy looks at. */
export const sampleSize = 4;

/** The share of known in-flight counts above which a backend server counts as hot. */
export const hotQuantile = 0.75;

/** A word on a backend server's load older than this is left out: load shifts in milliseconds. */
export const maximumSignalAgeMs = 250;

/** A latency older than this says nothing about now. */
export const maximumLatencyAgeMs = 5_000;

/** Weight of the newest latency in the moving average. */
export const latencyWeight = 0.2;

/** How many requests may be sent on one report before it is left out, so that a stale low count attracts no herd. */
export const maximumSignalUses = 4;
