/**
 * Minimum number of failed servers before a host suspects its links to a service; all servers, if the service has
 * fewer.
 */
export const minFailedServers = 3;

/** Minimum number of failed exchanges; decisive in a service with few servers. */
export const minFailedExchanges = 3;

/**
 * Minimum duration of the failures, in milliseconds. Servers that are full refuse connections for a moment, mostly new
 * ones rather than all, and a host that is short of CPU time reads answers late.
 */
export const minFailureDurationMs = Object.freeze({ all: 150, newConnections: 500 });

/** Consecutive successful probe rounds after which a host uses its own links again. */
export const recoveryRounds = 2;

/**
 * Upper limit of the above. The number doubles with each relapse up to this limit, so that a host stays away from
 * flapping links.
 */
export const maxRecoveryRounds = 16;

/** A failure within this time of the last recovery counts as a relapse, in milliseconds. */
export const relapseWindowMs = 10_000;

/** Interval of queries to other gateways while none of them reaches a service either, in milliseconds. */
export const peerQueryIntervalMs = 500;

/**
 * Interval at which a single request tries servers directly while neither this host nor another one reaches any, in
 * milliseconds.
 */
export const localAttemptIntervalMs = 1_000;

/** Time for which another gateway's answer that it reaches a service is valid, in milliseconds. */
export const reachableTtlMs = 5_000;

/** Time for which another gateway's answer that it does not reach a service is valid, in milliseconds. */
export const unreachableTtlMs = 1_000;

/** Time for which a gateway that did not answer is not used, in milliseconds. */
export const peerRetryDelayMs = 5_000;

/** Maximum number of gateways suggested to another gateway that looks for some that reach a service. */
export const maxSuggestedTargets = 4;

/**
 * Share of requests that are handed to a gateway with unknown status although there are known good ones, so that more
 * become known.
 */
export const explorationShare = 0.1;
