/** Load, limits and times on which placement, waiting, refusal and repeats rest. Times are milliseconds. */

/** Backend servers asked for their load at once, at most. */
export const mostAskedAtOnce = 4;

/** Chance with which one of the servers that are asked at once is to be good. */
export const wantedChance = 0.9;

/** Chance from which on a server that was looked at a moment ago is sent to without asking it again. */
export const sureChance = 0.95;

/** Age from which on a server is asked again whatever it said. */
export const sureMs = 25;

/** A server less likely good than this is not asked while others are known: the answer would change nothing. */
export const minProbeChance = 0.05;

/** Age up to which what a server said decides where nobody can be asked. */
export const rememberedMs = 50;

/**
 * The same for a request that looks for the last time. Not longer: a server that turned cold meanwhile would be given its
 * usual load by every gateway that doesn't ask.
 */
export const lastResortMs = 300;

/** How long a send may be missing from what a server says of its load. */
export const recentSendRetentionMs = 400;

/** Share of good servers that is assumed before any was looked at. */
export const initialGoodShare = 0.75;

/** Samples that a guess counts like, until as many were seen. */
export const priorSamples = 20;

/** Least weight of the newest sample, so that what changed since is noticed. */
export const minSampleWeight = 0.02;

/** How much likelier good a server of another zone, or outside of the subset, must be to be asked before a near one. */
export const otherZonePenalty = 0.3;
export const otherSubsetPenalty = 0.15;

/** Puts a suspected server behind every trusted one. */
export const suspectPenalty = 3;

/** How much less likely good a server may be and still be asked before another one by the draw. */
export const probeOrderJitter = 0.1;

/**
 * Backend servers of each service that a gateway probes before others: more than are probed at once, so that nearly always
 * one of them is neither slow nor full, and few enough that a kept connection leads to each.
 */
export const subsetServers = 6;

/** Share of a server's allowance of probes that the gateways of a small fleet share. */
export const evenProbeShare = 0.8;

/** In a large fleet: shares of the allowance for a server's group of gateways, and for the reserve of all zones. */
export const groupProbeShare = 0.3;
export const reserveProbeShare = 0.25;

/**
 * Gateways in a group and in the reserve, at most, for each probe a second of the allowance. Each may save one probe, and has
 * one after a restart; in ten seconds these and the shares above are four fifths of the allowance, which leaves room for
 * rosters that lack a fifth of the gateways.
 */
export const maxGroupGatewaysPerProbe = 0.3;
export const reserveGatewaysPerProbe = 0.95;

/** How many times its fair part of the fleet's gateways a zone keeps for its own servers, by how many it has of a service. */
export const maxFairShareFactor = 2;

/** How long probes that were not made are saved. */
export const probeBurstMs = 1_000;

/** Time in which what was seen of the ranks of requests fades. */
export const arrivalDecayMs = 5_000;

/** Largest share of a server's slots that less urgent requests leave to more urgent ones. */
export const maxReservedShare = 0.5;

/** Share of a server's slots from which on its work gets slower. */
export const nearlyFullShare = 0.8;

/** How many times longer work takes on a server that is nearly full. */
export const nearlyFullFactor = 1.7;

/** A server on which work takes at most this many times its usual time is taken without asking further ones. */
export const goodFactor = 1.3;

/**
 * A server on which work takes this many times its usual time gets a request past its wait only while it is idle. Work
 * on it is late and holds a slot for long; refused, most callers come back to a server that answers in time.
 */
export const tooSlowFactor = 3;

/** Share of a request's objective for which it is held for a better server before it takes what there is. */
export const waitShare = 0.16;

/** Shortest and longest pause until servers are asked again; drawn in between, so that gateways don't ask in step. */
export const minProbePauseMs = 10;
export const maxProbePauseMs = 25;

/** What crossing into another availability zone adds to a server's expected time: its way there and back, and its price. */
export const otherZoneCostMs = 12;

/** How many times longer a suspected server's work is taken to last, so that it is chosen only before a queue. */
export const suspectFactor = 4;

/** How long a server is suspected after its first failure; doubled with each further one. */
export const initialSuspicionMs = 1_000;
export const maxSuspicionMs = 8_000;

/** Expected time of a request before any was measured, as a share of its objective. */
export const initialLatencyShare = 0.4;

/** Weight of the newest request in a service's typical time. */
export const latencyWeight = 0.1;

/** Gateways that may send to one cold server. Two, so that one of them may be gone. */
export const coldServerOwners = 2;

/** Share of what a cold server bears that its owners give it together, for the time between ask and arrival. */
export const coldRateShare = 0.9;

/** Time without word from the store after which a gateway can't know any more whether it is an owner. */
export const ownershipValidityMs = 8_000;

/** Share of the fleet's allowance for repeats that is dealt out; the rest is for views of the roster that differ. */
export const repeatBudgetShare = 0.8;

/** Share of a gateway's repeats that hedges may use; retries of what failed go before them. */
export const maxHedgeShare = 0.6;

/** Share of the objective after which an idempotent request that has no answer is sent to a second server. */
export const hedgeAfterShare = 0.55;

/** Sends of one request, those that a server turned away included. */
export const maxSends = 6;

/** Time that must be left for a try to make sense, as a share of the typical time. */
export const minRemainingTimeShare = 0.5;

/** Shortest and longest time after which a refused caller is asked back while servers merely turned its request away. */
export const minTurnedAwayRetryMs = 20;
export const maxTurnedAwayRetryMs = 120;

/** Time from the start within which a process holds requests until it has read the store for the first time. */
export const maxStartupHoldMs = 1_000;

/** Share of a caller's patience for which its request is held then. */
export const startupHoldPatienceShare = 0.25;

/** Requests that a process holds then, at most. */
export const maxHeldAtStartup = 200;

/**
 * Time from the start in which requests are placed by turns, and how many at once: of those that can still be in time until they are
 * sent, of the others until they end.
 */
export const startupQueueMs = 4_000;
export const maxStartupSearches = 2;
export const maxLateStartupRequests = 1;

/** Time from a process's first request within which callers come who had waited for it, and tried again every tenth of a second or so. */
export const startupBacklogMs = 300;

/** Share of a server's named limit that its owners give it together; the rest is for views of the roster that differ. */
export const ownerLimitShare = 0.9;

/** Share of it that all other gateways use together to hear whether the limit still holds. */
export const limitRecheckShare = 0.2;

/** Gateways that send to a server which named a limit: as many as leave each a request a second, within bounds. */
export const minPerSecondPerLimitOwner = 1;
export const minLimitOwners = 3;
export const maxLimitOwners = 15;

/** A lower limit counts as this one, in requests a second: a server that gets nothing can't say that its need is over. */
export const minLimitPerSecond = 0.05;

/** Servers whose notices are remembered, those without an entry included. */
export const maxRememberedRemovedServers = 4_096;
