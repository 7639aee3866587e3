/** Servers of a service that must have failed before its host doubts its links; all of them, where a service has fewer. */
export const minFailedServers = 3;

/** Exchanges that must have failed, in a service of few servers. */
export const minFailedExchanges = 3;

/**
 * How long exchanges must have failed, in milliseconds. Servers that are full refuse connections for a moment, new ones rather than
 * all, and a host that is short of its processor hears answers late.
 */
export const minFailureDurationMs = Object.freeze({ all: 150, newConnections: 500 });

/** Rounds of checks in a row in which a server answers before a host uses its own links again. */
export const recoveryRounds = 2;

/** The same after the links were lost again and again: doubled each time up to this, so that links that flap are left alone. */
export const maxRecoveryRounds = 16;

/** A loss this long after the links were regained, or later, isn't taken for the same one, in milliseconds. */
export const relapseWindowMs = 10_000;

/** Time from one round of questions to other gateways to the next while none of them reaches a service either, in milliseconds. */
export const peerQueryIntervalMs = 500;

/** How often one request looks for a server by itself while neither this host nor another one reaches any, in milliseconds. */
export const localAttemptIntervalMs = 1_000;

/** How long another gateway's word that it reaches a service counts, in milliseconds. */
export const reachableTtlMs = 5_000;

/** How long its word that it doesn't counts, in milliseconds. */
export const unreachableTtlMs = 1_000;

/** How long a gateway that doesn't answer is left alone, in milliseconds. */
export const peerRetryDelayMs = 5_000;

/** Gateways that are named to another one that looks for some that reach a service. */
export const maxSuggestedTargets = 4;

/** Share of requests that are handed to a gateway of which nothing is known although others are: so that more become known. */
export const explorationShare = 0.1;
