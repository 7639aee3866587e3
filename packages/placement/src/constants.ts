/**
 * Thresholds and defaults for probing, placement, waiting, rejection, retries and limits. Times are in milliseconds.
 */

/** Maximum number of backend servers that one request probes in parallel. */
export const mostAskedAtOnce = 4;

/** Target probability that at least one of the servers probed in parallel is good. */
export const wantedChance = 0.9;

/** Minimum probability of being good at which a recently observed server gets a request without a new probe. */
export const sureChance = 0.95;

/** Maximum age of a status that allows sending without a new probe. */
export const sureMs = 25;

/**
 * Servers below this probability of being good aren't probed while others are known: the result wouldn't change the
 * choice.
 */
export const minProbeChance = 0.05;

/** Maximum age of a cached status that is used when no server can be probed. */
export const rememberedMs = 50;

/**
 * The same for the last search of a request. A longer time would be unsafe: a server that has become cold would keep
 * getting its usual load from every gateway that doesn't probe it.
 */
export const lastResortMs = 300;

/** How long a sent request may be missing from the load that its server reports. */
export const recentSendRetentionMs = 400;

/** Share of good servers assumed before the first observation. */
export const initialGoodShare = 0.75;

/** Number of samples that the initial estimate counts as. */
export const priorSamples = 20;

/** Minimum weight of the newest sample, so that an estimate keeps following changes. */
export const minSampleWeight = 0.02;

/**
 * By how much the probability of being good must be higher for a server of another zone, or outside of the subset, to
 * be probed first.
 */
export const otherZonePenalty = 0.3;
export const otherSubsetPenalty = 0.15;

/** Large enough to order every suspected server after all others. */
export const suspectPenalty = 3;

/** Random jitter of the probe order, as a difference in the probability of being good. */
export const probeOrderJitter = 0.1;

/**
 * Size of the subset of a service's servers that a gateway probes first. Larger than the number of parallel probes, so
 * that one of them is nearly always neither slow nor full, and small enough to keep a connection open to each.
 */
export const subsetServers = 6;

/** Share of a server's probe allowance that the gateways of a small fleet divide evenly. */
export const evenProbeShare = 0.8;

/**
 * In a large fleet: shares of the allowance for a server's group of gateways, and for its reserve of gateways of all
 * zones.
 */
export const groupProbeShare = 0.3;
export const reserveProbeShare = 0.25;

/**
 * Maximum sizes of a group and of the reserve, per probe per second of the allowance. Each gateway may save up one
 * probe and has one after a restart. Within ten seconds these and the shares above use four fifths of the allowance,
 * which leaves room for rosters that lack a fifth of the gateways.
 */
export const maxGroupGatewaysPerProbe = 0.3;
export const reserveGatewaysPerProbe = 0.95;

/**
 * Maximum number of gateways that a zone keeps for its own servers, as a multiple of its fair share. The fair share is
 * proportional to the zone's servers of the service.
 */
export const maxFairShareFactor = 2;

/** Time for which unused probes accumulate. */
export const probeBurstMs = 1_000;

/** Time constant of the exponential decay of arrival counts by priority. */
export const arrivalDecayMs = 5_000;

/** Maximum share of a server's slots that is reserved for requests of higher priority. */
export const maxReservedShare = 0.5;

/** Utilization of a server's slots from which its requests take longer. */
export const nearlyFullShare = 0.8;

/** Expected slowdown of requests on a nearly full server. */
export const nearlyFullFactor = 1.7;

/** A server on which requests take at most this many times their usual latency is used without probing others. */
export const goodFactor = 1.3;

/**
 * A server on which requests take this many times their usual latency gets a request whose wait is over only while it
 * is idle. Requests on it are late and hold a slot for long; most rejected callers retry and reach a server that
 * responds in time.
 */
export const tooSlowFactor = 3;

/**
 * Share of a request's latency objective for which it waits for a better server before it takes the best available one.
 */
export const waitShare = 0.16;

/**
 * Minimum and maximum pause before servers are probed again. The pause is random, so that gateways don't probe in
 * lockstep.
 */
export const minProbePauseMs = 10;
export const maxProbePauseMs = 25;

/**
 * Added to the expected latency of a server in another availability zone, for the round trip and the price of the
 * traffic.
 */
export const otherZoneCostMs = 12;

/** Factor on the expected latency of a suspected server, so that it is preferred only to waiting in a queue. */
export const suspectFactor = 4;

/**
 * How long a server is suspected after its first failure, and the maximum; the time doubles with each further failure.
 */
export const initialSuspicionMs = 1_000;
export const maxSuspicionMs = 8_000;

/** Expected latency of a request before the first measurement, as a share of its objective. */
export const initialLatencyShare = 0.4;

/** Weight of the newest sample in the moving average of a service's latency. */
export const latencyWeight = 0.1;

/** Gateways that may send to one cold server. Two, so that one of them may be down. */
export const coldServerOwners = 2;

/**
 * Share of a cold server's rate limit that its owners use together. The rest allows for the delay between the decision
 * to send and the arrival of the request.
 */
export const coldRateShare = 0.9;

/** Time without contact to the store after which a gateway can't rely on its roster to know whether it is an owner. */
export const ownershipValidityMs = 8_000;

/**
 * Share of the ratio of repeats to requests that gateways use. The rest covers repeats that reach a server later than
 * they were counted: half a second of all repeats, for a window of ten.
 */
export const repeatRatioShare = 0.95;

/**
 * Share of the fleet's fixed allowance for repeats that the gateways may hold unused, and share that they are granted
 * in each window whatever requests they get. The rest covers rosters that differ.
 */
export const carriedRepeatsShare = 0.85;
export const refilledRepeatsShare = 0.05;

/** Maximum share of a gateway's repeats that hedged requests use; the rest is kept for retries of failed requests. */
export const maxHedgeShare = 0.6;

/** Share of the latency objective after which an idempotent request without a response is hedged to a second server. */
export const hedgeAfterShare = 0.55;

/** Maximum number of sends of one request, including those that a server rejected. */
export const maxSends = 6;

/** Minimum time left before the deadline for a request to be placed, as a share of its typical latency. */
export const minRemainingTimeShare = 0.5;

/** Minimum and maximum Retry-After of a request that servers rejected although they had spare capacity. */
export const minTurnedAwayRetryMs = 20;
export const maxTurnedAwayRetryMs = 120;

/** Maximum time after its start for which a process holds requests until its first read of the store has completed. */
export const maxStartupHoldMs = 1_000;

/** Maximum share of the caller's timeout for which its request is held then. */
export const startupHoldPatienceShare = 0.25;

/** Maximum number of requests that a process holds then. */
export const maxHeldAtStartup = 200;

/**
 * Time after the start of a process during which requests queue for placement, and the concurrency limits. Requests
 * that can still meet their objective count until they are sent; late ones count until they have ended.
 */
export const startupQueueMs = 4_000;
export const maxStartupSearches = 2;
export const maxLateStartupRequests = 1;

/**
 * Time after the first request within which the backlog of a downtime arrives: its callers retry about every 100 ms.
 */
export const startupBacklogMs = 300;

/** Share of a server's advertised limit that its owners use together; the rest covers rosters that differ. */
export const ownerLimitShare = 0.9;

/** Share of the limit that all other gateways use together to check whether it is still in effect. */
export const limitRecheckShare = 0.2;

/** Owners of an advertised limit: as many as leave each of them at least this rate, within the bounds below. */
export const minPerSecondPerLimitOwner = 1;
export const minLimitOwners = 3;
export const maxLimitOwners = 15;

/**
 * Lower bound for a limit, in requests per second: a server that gets no requests can't advertise that the limit has
 * ended.
 */
export const minLimitPerSecond = 0.05;

/** Maximum number of servers whose exclusion is remembered, including servers without an entry in the store. */
export const maxRememberedRemovedServers = 4_096;
