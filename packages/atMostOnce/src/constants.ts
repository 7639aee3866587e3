/** Header in which a backend server says that it shed a request before running it, and galenaglade says `DidRun`. */
export const didRunHeader = "x-galenaglade-did-run";

/** Header in which a caller names a non-idempotent request, so that a second try of it is recognised. */
export const idempotencyKeyHeader = "idempotency-key";

/** Status with which a backend server sheds load. */
export const shedStatus = 503;

/** Statuses that a proxy in front of a server's code may answer in the server's name. */
export const ambiguousStatuses: readonly number[] = [502, 503, 504];

/** Shards over which idempotency keys are spread; fewer batch better, more keep what each write carries small. */
export const claimShardCount = 256;

/** Length of one time bucket of claims: 3 hours. */
export const claimBucketMs = 10_800_000;

/** Time buckets, besides the open one, in which a claim still counts: with 3 hours each, a claim lasts 24 to 27 hours. */
export const claimRetainedBuckets = 8;

/** Age up to which a claim document is written without being read again first. */
export const maxClaimCacheAgeMs = 5;

/** A claim that was not handed over within this time after its write was first sent is no longer acted upon. */
export const claimValidityMs = 30_000;

/** While the store is down and keyed requests are refused: time until it is asked again whether it is back. */
export const claimStoreProbeDelayMs = 200;

/** Failed calls of one shard in a row after which the claims that wait for it are refused. */
export const claimFailureThreshold = 2;

/** Longest claim document that takes new claims, in characters; with all their ends it stays below one megabyte. */
export const maxClaimDocumentLength = 750_000;

/** Times its service's average time to the head, after which an overtaken attempt counts as stalled. */
export const stallLatencyFactor = 4;

/** Shortest time after which an attempt can count as stalled; well above a pause of the process or a lost packet. */
export const minStallTimeoutMs = 500;

/** Weight of the newest head in the average time to the head. */
export const stallLatencyEwmaWeight = 0.1;

/** Mean deviations above its service's average time, after which an overtaken attempt counts as stalled. */
export const stallDeviationFactor = 8;
