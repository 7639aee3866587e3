/**
 * How long after the store came back an entry that lapsed meanwhile is still believed, in milliseconds. Backend servers
 * that live and reach the store write theirs again within about two seconds, and one that left must be given nothing
 * two seconds after that; the tenth less is for the requests that are on their way.
 */
export const lapsedEntryGraceMs = 1_900;

/**
 * Time without an answer from the store after which it counts as having been away, in milliseconds: one failed call
 * and its repetition, so that a single lost connection doesn't put off word of servers that leave.
 */
export const storeOutageThresholdMs = 1_200;

/**
 * Time within which all gateways that are in touch find the store again, in milliseconds (docs/design/platform.md). Of two that found it
 * further apart, the later one was cut off from it; nearer, each believes lapsed entries from when it found it itself, which leaves servers
 * as much time to write them again as before.
 */
export const storeReconnectWindowMs = 1_500;

/**
 * How long a gateway whose registration is gone still counts as one, in milliseconds. Shares are dealt by the number
 * of gateways: one that stops counting too early lets the others take its share while it may still use it.
 */
export const departedGatewayGraceMs = 10_000;

/** Gateways of one availability zone that hear of changes from one that reads the store. */
export const followersPerRelay = 40;

/** How long a relay that didn't answer is not asked again, in milliseconds: a restart takes less. */
export const relayRetryDelayMs = 5_000;

/**
 * How long operators' keys are believed that a store which came back from an older copy lacks, in milliseconds: operators write them again
 * within seconds. A zone that is left out for longer than it has to be costs room; one that is used too early breaks the operators' word.
 */
export const unconfirmedKeyTtlMs = 10_000;

/**
 * How long an evacuation is not believed which was withdrawn before such a return and is in the copy again, in milliseconds. One that was
 * ordered anew meanwhile must be in force after 5 s.
 */
export const withdrawnEvacuationHoldMs = 4_000;

/** How long withdrawn keys and ended servers are remembered, in milliseconds: far longer than a copy is old. */
export const tombstoneRetentionMs = 120_000;

/** Relays that are asked in vain, one after the other, before the store itself is. */
export const maxRelayAttempts = 2;

/** How long a gateway reads the store itself, after its relays failed or since it was last asked, in milliseconds. */
export const directStoreReadMs = 4_000;

/** Deletions that are remembered for gateways that ask: some minutes of a fleet with thousands of servers. */
export const maxRetainedDeletions = 2_000;

/** Strikes, and cleared contents, in one gateway's report on requests under which servers ended. */
export const maxReportedContents = 32;
