/** Header with which backend servers report a request that they shed before running it, and galenaglade `DidRun`. */
export const didRunHeader = "x-galenaglade-did-run";

/** Header with which a caller identifies a non-idempotent request, so that a retry of it is recognized. */
export const idempotencyKeyHeader = "idempotency-key";

/** Status with which a backend server sheds load. */
export const shedStatus = 503;

/** Statuses that may come from a proxy in front of the server's code, so that the request may not have run. */
export const ambiguousStatuses: readonly number[] = [502, 503, 504];

/** Number of shards of idempotency keys: fewer shards batch better, more shards keep each write small. */
export const claimShardCount = 256;

/** Length of a time bucket of claims: 3 hours. */
export const claimBucketMs = 10_800_000;

/** Time buckets, besides the open one, whose claims are in effect: at 3 hours each, a claim lasts 24 to 27 hours. */
export const claimRetainedBuckets = 8;

/** Maximum age of a cached claim document that is written without being read again. */
export const maxClaimCacheAgeMs = 5;

/** Time after the first write of a claim was sent, within which its request may be sent. */
export const claimValidityMs = 30_000;

/** Delay between probes of the store while it is down and requests with idempotency keys are refused. */
export const claimStoreProbeDelayMs = 200;

/** Consecutive failed calls of one shard after which its waiting claims are refused. */
export const claimFailureThreshold = 2;

/** Maximum length of a claim document with a new claim, in characters; with all ends it stays below one megabyte. */
export const maxClaimDocumentLength = 750_000;

/** Multiple of its service's mean time to the response head after which an overtaken attempt is considered stalled. */
export const stallLatencyFactor = 4;

/** Minimum time until an attempt is considered stalled; well above a process pause or a packet retransmission. */
export const minStallTimeoutMs = 500;

/** Weight of the latest sample in the moving averages of the time to the response head. */
export const stallLatencyEwmaWeight = 0.1;

/** Number of mean deviations above the mean time after which an overtaken attempt is considered stalled. */
export const stallDeviationFactor = 8;
