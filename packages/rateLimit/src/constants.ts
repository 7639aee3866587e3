/** Number of workspace groups. Each group has its own allocator, so that no single host serves all workspaces. */
export const groupCount = 2;

/**
 * Number of candidates for a group's allocator, in order of preference; all of them can be tried within one lease. With
 * three, one in six fleets in which 55 % of the hosts were killed had no allocator left.
 */
export const allocatorCandidateCount = 6;

/** Lease duration of a share, counted from the allocator's timestamp that the host has echoed, in milliseconds. */
export const leaseMs = 1_900;

/** Number of units of a whole share; shares are rounded down to these units, so that datagrams stay short. */
export const shareUnits = 1_000_000;

/** Added by hosts that wait for a lease to end, in milliseconds: the speed of two clocks may differ by 2 %. */
export const leaseMarginMs = 20;

/**
 * Interval between heartbeats to an allocator, in milliseconds. Including the age of the echo, one may arrive 300 ms
 * late.
 */
export const heartbeatPeriodMs = 800;

/** Interval after which an unanswered message is retransmitted, in milliseconds; bad links lose 2.5 % of packets. */
export const retransmitPeriodMs = 40;

/** Time without a response after which an allocator is considered lost, in milliseconds: three retransmissions. */
export const allocatorTimeoutMs = 150;

/**
 * If the allocator timeout is processed later than this, in milliseconds, it is extended once: the event loop of this
 * host was blocked, and the response may be waiting in its socket.
 */
export const lateTickThresholdMs = 25;

/**
 * Delay until a preferred allocator that was lost can be used again, in milliseconds, so that an unstable allocator
 * doesn't make shares move back and forth.
 */
export const failbackDelayMs = 5_000;

/**
 * The same for an allocator that never responded, in milliseconds; shorter because the hosts of a starting fleet appear
 * one after the other.
 */
export const unknownFailbackDelayMs = 1_000;

/** Interval between probes of a preferred allocator, in milliseconds. */
export const failbackProbePeriodMs = 1_000;

/** Interval between probes of each candidate while no allocator responds, in milliseconds. */
export const isolatedProbePeriodMs = 300;

/** Interval between probes of allocators that may hold a share of this host's previous process, in milliseconds. */
export const startupProbePeriodMs = 100;

/**
 * Default time that a request waits for its decision, in milliseconds: until an unresponsive allocator is considered
 * lost.
 */
export const defaultDecisionTimeoutMs = allocatorTimeoutMs;

/**
 * Factors by which refill rate and burst capacity exceed the limit, and additional capacity in tokens, so that a caller
 * that uses exactly its limit isn't refused because of rounding and delays.
 */
export const refillFactor = 1.02;
export const burstFactor = 1.05;
export const extraBurstTokens = 3;

/** Number of tokens that a new workspace gets at once. */
export const initialTokens = 1;

/**
 * A share that is newly delegated to an allocator counts as held for this long before, in milliseconds, since until
 * then no allocator held it.
 */
export const shareCreditMs = 100;

/**
 * Minimum interval between two such credits for the share of one host, in milliseconds; otherwise a flapping host would
 * raise the admitted rate.
 */
export const shareCreditPeriodMs = 5_000;

/** Fraction of the capacity above which hedged requests are allowed. */
export const plentifulThreshold = 0.5;

/** Maximum retry delay for a caller over its limit, in milliseconds. */
export const maxRetryAfterMs = 3_000;

/**
 * Retry delay while the allocator holds no shares, in milliseconds; they are being delegated to it or to another
 * allocator.
 */
export const noSharesRetryAfterMs = 200;

/** Retry delay after a refusal by an isolated host, in milliseconds; the caller's retry reaches another host. */
export const isolatedRetryAfterMs = 50;

/** Maximum random addition to a retry delay, as a fraction of it. */
export const retryJitter = 0.2;

/** Minimum number of unused time slots of a workspace that an isolated fleet keeps; more if the burst is larger. */
export const minRetainedSlots = 10;

/**
 * Number of changes to the shares that an allocator keeps. The bucket of a new workspace starts with the tokens that
 * would be left after these changes.
 */
export const maxShareChanges = 64;

/**
 * Time after which an idle bucket or an unresponsive host is removed, in milliseconds; longer than a burst takes to
 * refill.
 */
export const idleExpiryMs = 60_000;

/** Maximum size of a datagram: below the MTU of any network, since the loss of one IP fragment loses the datagram. */
export const maxMessageBytes = 1_150;

/** Maximum number of entries of a message; the response to more could exceed the maximum datagram size. */
export const maxMessageEntries = 14;

/** Maximum number of workspaces in a snapshot. */
export const maxSnapshotWorkspaces = 200;

/** Maximum number of changes kept for the log. */
export const maxPendingChanges = 100;

/**
 * Advance of the wall clock relative to the monotonic clock above which the host is considered to have been suspended,
 * in milliseconds.
 */
export const suspensionThresholdMs = 100;
