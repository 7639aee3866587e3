/** Number of candidates that `HotColdPolicy` samples. */
export const hotColdSampleSize = 4;

/** Quantile of the candidates' occupancy from which a backend server is considered hot. */
export const hotQuantile = 0.75;

/** Load reports older than this are ignored, because load changes within milliseconds. */
export const maxReportAgeMs = 250;

/** Latency averages without a new sample for this long are discarded as outdated. */
export const maxLatencyAgeMs = 5_000;

/** Weight of a new sample in the exponential moving average of the latency. */
export const latencyWeight = 0.2;

/**
 * Requests sent after one load report before it is ignored, so that a stale low count can't attract a burst of
 * requests.
 */
export const maxSendsPerReport = 4;

/** Time constant at which a load report loses its weight, for a server of unknown latency. */
export const defaultReportDecayMs = 100;

/**
 * Cost of another availability zone, as a share of a server's slots. Its network time of about a millisecond is small
 * compared to tens of milliseconds of processing, so it only breaks ties.
 */
export const otherZoneCost = 0.05;
