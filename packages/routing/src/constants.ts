/** How many candidates a sampling policy looks at. */
export const hotColdSampleSize = 4;

/** The share of known in-flight counts above which a backend server counts as hot. */
export const hotQuantile = 0.75;

/** A word on a backend server's load older than this is left out: load shifts in milliseconds. */
export const maxReportAgeMs = 250;

/** A latency older than this says nothing about now. */
export const maxLatencyAgeMs = 5_000;

/** Weight of the newest latency in the moving average. */
export const latencyWeight = 0.2;

/** How many requests may be sent on one report before it is left out, so that a stale low count attracts no herd. */
export const maxSendsPerReport = 4;

/** Time in which a server's requests in flight turn over, where its latency isn't known. */
export const defaultReportDecayMs = 100;

/** What another availability zone costs, in slots: a millisecond on the way beside tens at work decides ties only. */
export const otherZoneCost = 0.05;
