/** Groups of workspaces, each with its own allocator, so that no single host answers for all. */
export const groupCount = 2;

/**
 * Hosts that a group's allocator is chosen from, best first: all of them are tried within one lease. With three, one fleet in six of which 55 %
 * was killed had no allocator left.
 */
export const allocatorCandidateCount = 6;

/** A share counts this long after the allocator's time that its host has echoed, in milliseconds. */
export const leaseMs = 1_900;

/** Shares are told in these parts, so that datagrams stay short. */
export const shareUnits = 1_000_000;

/** Added by hosts that wait for the end of a lease, in milliseconds: two clocks may differ by 2 % in speed. */
export const leaseMarginMs = 20;

/** Time between two heartbeats to an allocator, in milliseconds: with the age of the echo, one may come 300 ms late. */
export const heartbeatPeriodMs = 800;

/** Time after which an unanswered message is sent again, in milliseconds: bad links lose 2.5 % of packets. */
export const retransmitPeriodMs = 40;

/** Time without an answer after which an allocator is given up, in milliseconds: three retransmissions. */
export const allocatorTimeoutMs = 150;

/**
 * A give-up that is noticed this late, in milliseconds, is put off once: the host's own event loop stood still, and the answer may wait in
 * its socket.
 */
export const lateTickThresholdMs = 25;

/** Time until a better rank that was left is used again, in milliseconds, so that a failing allocator moves no shares to and fro. */
export const failbackDelayMs = 5_000;

/** The same for a rank that had never answered, in milliseconds: in a fleet that starts, hosts come one after the other. */
export const unknownFailbackDelayMs = 1_000;

/** Time between two probes of a better rank, in milliseconds. */
export const failbackProbePeriodMs = 1_000;

/** Time between two probes of each rank while no allocator answers, in milliseconds. */
export const isolatedProbePeriodMs = 300;

/** Time between two greetings to allocators that may hold a share of this host's previous process, in milliseconds. */
export const startupProbePeriodMs = 100;

/** How long a request waits for its decision unless it says otherwise, in milliseconds: until an allocator would be given up. */
export const defaultDecisionTimeoutMs = allocatorTimeoutMs;

/** Refill and capacity lie above the limit, so that a caller who keeps the limit exactly isn't refused for rounding and delays. */
export const refillFactor = 1.02;
export const burstFactor = 1.05;
export const extraBurstTokens = 3;

/** Tokens that a workspace of which nothing was heard has at once. */
export const initialTokens = 1;

/** A share that comes to an allocator counts as held for this long before, in milliseconds: until then it was nobody's. */
export const shareCreditMs = 100;

/** A host's share brings that credit once in this time, in milliseconds, or a host that flaps would raise the rate. */
export const shareCreditPeriodMs = 5_000;

/** Share of the capacity above which hedges are allowed. */
export const plentifulThreshold = 0.5;

/** Longest time that a caller over its limit is told to wait, in milliseconds. */
export const maxRetryAfterMs = 3_000;

/** Retry time where the allocator holds no shares, in milliseconds: they are on their way to it, or to another. */
export const noSharesRetryAfterMs = 200;

/** Retry time of a refusal by an isolated host, in milliseconds: the caller's retry reaches another host. */
export const isolatedRetryAfterMs = 50;

/** Part of a retry time that is added at random. */
export const retryJitter = 0.2;

/** Unused time slots that an isolated fleet may keep of one workspace: its burst, or this many if that is less. */
export const minRetainedSlots = 10;

/** Changes of the shares that an allocator remembers: a workspace that it first hears of gets what these would have left it. */
export const maxShareChanges = 64;

/** Time until an idle bucket or a silent host is forgotten, in milliseconds: longer than a burst takes to refill. */
export const idleExpiryMs = 60_000;

/** Datagrams stay below a packet of any network, so that none is sent in two parts, of which each may be lost. */
export const maxMessageBytes = 1_150;

/** Entries of a message: the answer to more of them could exceed a packet. */
export const maxMessageEntries = 14;

/** Workspaces in a description. */
export const maxSnapshotWorkspaces = 200;

/** Changes kept for the log. */
export const maxPendingChanges = 100;

/** Jump of the time of day ahead of the monotonic clock that is taken for a suspension of the host, in milliseconds. */
export const suspensionThresholdMs = 100;
