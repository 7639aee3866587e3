/** Share of the permitted exposure that a trial uses; the rest is for requests that are in flight at the verdict. */
export const trialShareOfExposure = 0.7;

/**
 * Maximum trial credit of one gateway, in requests, that accumulates while no server of the new version can take any.
 */
export const maxSavedTrials = 2;

/** Share of the requests of a service that go to the new version in the `widened` stage. */
export const widenedShare = 0.3;

/**
 * Number of servers of the new version that a trial uses, one after the other as they fill up. There are few, so that
 * they carry the load of a full server, because some faults only appear under load; there is more than one, so that a
 * fault of one host can be told from a fault of the version.
 */
export const maxTrialServers = 3;

/** Share of trial requests that are offered to the second server first. */
export const secondTrialServerShare = 0.3;

/** A response that takes this many times longer than the load of the server explains counts against its version. */
export const slowFactor = 2.5;

/**
 * Excess of the share of bad responses over that of the old version, under the two hypotheses of the test: a sound
 * version has the first at most, a bad one the second or more.
 */
export const soundExcessShare = 0.05;
export const badExcessShare = 0.25;

/** Log-odds thresholds at which a version counts as bad or as sound. */
export const badLogOddsThreshold = 6;
export const soundLogOddsThreshold = -7;

/** Minimum share of bad responses that is assumed for any version. */
export const minBadShare = 0.02;

/** Number of responses of the old version from which its measured share of bad ones is used without damping. */
export const stablePriorSends = 40;

/**
 * Share by which the weight of older responses of the old version decays with each update, so that a fault of both
 * versions is noticed in time.
 */
export const stableDecayPerUpdate = 0.25;

/** Minimum number of trial responses, over all routes, for a sound verdict. */
export const minTrialSends = 40;

/** Routes with a smaller share of the old version's responses cannot delay a sound verdict. */
export const minRouteShare = 0.1;

/**
 * Shares of the allowed time: the minimum duration of a trial, and the time after which an unfinished rollout is
 * rolled back.
 */
export const minTrialTimeShare = 0.4;
export const deadlineShare = 0.92;

/**
 * Share of the allowed time at which a rollout ends according to the upper bound of its order's age. In normal
 * operation this bound is up to a second above the actual age, which is the interval at which gateways hear from the
 * store; with `deadlineShare`, rollouts would lose that time.
 */
export const deadlineShareByMaxAge = 0.97;

/**
 * Share of the allowed time by which each next gateway in rank waits longer before it ends a rollout that its
 * coordinator left open, and the maximum number of such delays. All gateways have written before the allowed time is
 * over, and usually only one needs to.
 */
export const overdueDelayShare = 0.015;
export const maxOverdueDelaySteps = 3;

/**
 * Share of the allowed time after which not all gateways need to have settled, and the share of gateways that must
 * have settled then.
 */
export const partialSettlingTimeShare = 0.8;
export const minSettledShare = 0.9;

/**
 * Minimum duration of the `widened` stage, in milliseconds, and minimum number of responses of the new version in it.
 */
export const minWidenedMs = 1_000;
export const minWidenedSends = 30;

/**
 * Minimum number of slots of the new version's warm servers before the next stage, relative to the slots of the old
 * version.
 */
export const minCapacityRatio = 0.6;

/** Maximum number of rejected versions kept in a status. */
export const maxRejectedVersions = 16;

/** Time before a coordinator that failed is asked again, in milliseconds. */
export const coordinatorRetryDelayMs = 4_000;

/** Time for which a gateway acts as coordinator after another gateway reported to it, in milliseconds. */
export const actingCoordinatorMs = 4_000;

/**
 * Time without contact to the store after which a gateway sends no more requests to a version on trial, in
 * milliseconds.
 */
export const maxStoreContactAgeMs = 2_000;

/**
 * Number of gateways next in rank that report without new evidence, and their interval in milliseconds. They detect a
 * coordinator that is gone.
 */
export const standbyCoordinators = 2;
export const standbyReportIntervalMs = 1_000;

/** Minimum delay after a write of a status before the next one, in milliseconds. */
export const statusWriteDelayMs = 400;

/**
 * Time for which a gateway that has just learnt of an order waits for reports before it ends the rollout by the upper
 * bound of the order's age, in milliseconds. Gateways that found it unavailable report to it again after
 * `coordinatorRetryDelayMs` and one tick. Without the wait, a gateway that was partitioned for long would end a
 * rollout that has just started.
 */
export const orderAgeReportWaitMs = 4_500;

/** An order that is seen within this time of the first full read may have been given before, in milliseconds. */
export const preexistingOrderWindowMs = 700;
