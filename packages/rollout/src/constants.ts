/** Share of the exposure that a roll-out allows which its trial uses; the rest is for what is under way at the verdict. */
export const trialShareOfExposure = 0.7;

/** Requests that the trial may have saved up in one gateway while no server of the new version could take them. */
export const maxSavedTrials = 2;

/** Share of a service's requests that go to a widened version. */
export const widenedShare = 0.3;

/**
 * Servers of the new version that a trial uses, one after the other as they fill up: few, so that they carry a full
 * server's load, which alone shows a fault that comes under load; more than one, so that a fault of one host is told from
 * one of the version.
 */
export const maxTrialServers = 3;

/** Share of the trials that begin with the second server. */
export const secondTrialServerShare = 0.3;

/** Work that takes this many times longer than the server's load explains counts against a version. */
export const slowFactor = 2.5;

/** Excess of bad answers over the old version's that a sound version stays under, and that a bad one exceeds by far. */
export const soundExcessShare = 0.05;
export const badExcessShare = 0.25;

/** Log odds at which a version counts as bad or as sound. */
export const badLogOddsThreshold = 6;
export const soundLogOddsThreshold = -7;

/** Least share of bad answers that is assumed of any version. */
export const minBadShare = 0.02;

/** Answers of the old version from which on its own share of bad ones counts in full. */
export const stablePriorSends = 40;

/** Share by which older answers of the old version fade with each look, so that a trouble that both share is seen in time. */
export const stableDecayPerUpdate = 0.25;

/** Trial answers that a sound verdict takes in all. */
export const minTrialSends = 40;

/** A route with a smaller share of the old version's answers can't hold up a sound verdict. */
export const minRouteShare = 0.1;

/** Shares of the time allowed: the trial lasts at least the first, and what has not ended by the second is rolled back. */
export const minTrialTimeShare = 0.4;
export const deadlineShare = 0.92;

/**
 * Share of the time allowed at which a roll-out ends by what its order's age may be at most. That bound is up to a second above
 * the age in calm times, the interval at which gateways hear from the store; at `latestEnd` it would cost calm roll-outs that time.
 */
export const deadlineShareByMaxAge = 0.97;

/**
 * Share of the time allowed by which each next gateway in rank waits longer before it ends a roll-out that its coordinator left
 * open, and the most such waits: all have written before the time is over, and mostly one does.
 */
export const overdueDelayShare = 0.015;
export const maxOverdueDelaySteps = 3;

/** Share of the time allowed after which some gateways may be missing from those that have settled. */
export const partialSettlingTimeShare = 0.8;
export const minSettledShare = 0.9;

/** Shortest time for which a version stays widened, in milliseconds, and answers that it takes. */
export const minWidenedMs = 1_000;
export const minWidenedSends = 30;

/** Slots of the new version's servers that are warm, as a share of the old version's, before it gets everything. */
export const minCapacityRatio = 0.6;

/** Rejected versions that a status remembers. */
export const maxRejectedVersions = 16;

/** How long a gateway that didn't answer as coordinator is not asked again, in milliseconds. */
export const coordinatorRetryDelayMs = 4_000;

/** How long a gateway acts as coordinator after another one took it for that, in milliseconds. */
export const actingCoordinatorMs = 4_000;

/** Time without word from the store after which a gateway sends nothing to a version on trial, in milliseconds. */
export const maxStoreContactAgeMs = 2_000;

/** Gateways next in rank that report without news, and how often, in milliseconds: they find out a coordinator that is gone. */
export const standbyCoordinators = 2;
export const standbyReportIntervalMs = 1_000;

/** Pause after a write of a roll-out's status, in milliseconds. */
export const statusWriteDelayMs = 400;

/**
 * How long a gateway that newly knows an order waits for reports before it ends the roll-out by what the order's age may be at most,
 * in milliseconds: those that found it away report to it again after `failedCoordinatorMs` and a tick. One that was cut off for long
 * would end a roll-out that has just begun.
 */
export const orderAgeReportWaitMs = 4_500;

/** Orders seen within this time of the first reading were given before, in milliseconds. */
export const preexistingOrderWindowMs = 700;
