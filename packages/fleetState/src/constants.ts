/**
 * Time after the end of a store outage for which an entry that expired meanwhile still counts, in milliseconds.
 * Running backend servers that reach the store re-create their entries within about 2 s. A server that left must get
 * no requests 2 s after that; the margin of 100 ms covers requests already being sent.
 */
export const lapsedEntryGraceMs = 1_900;

/**
 * Time without an answer from the store after which it counts as unavailable, in milliseconds: one failed call and its
 * retry, so that a single lost connection does not delay the removal of servers that leave.
 */
export const storeOutageThresholdMs = 1_200;

/**
 * Time within which all connected gateways find that the store is back after an outage, in milliseconds (see
 * docs/design/platform.md). If two gateways find it further apart than this, the later one was partitioned from the
 * store. Otherwise each starts the grace period for lapsed entries when it reconnects itself, so that servers still
 * have the full time to re-create their entries.
 */
export const storeReconnectWindowMs = 1_500;

/**
 * Time for which a gateway still counts as a member after its registration is gone, in milliseconds. Rate limit shares
 * depend on the number of gateways: if one is dropped too early, the others take over its share while it may still be
 * using it.
 */
export const departedGatewayGraceMs = 10_000;

/** Gateways of one availability zone per relay. A relay watches the store and passes its changes on to the others. */
export const followersPerRelay = 40;

/** Time before a relay that failed is asked again, in milliseconds. A restart takes less. */
export const relayRetryDelayMs = 5_000;

/**
 * Time for which keys other than those of servers and gateways stay in effect although a store that was restored from
 * an older backup lacks them, in milliseconds. Operators re-create theirs within seconds. Keeping a zone evacuated for
 * too long costs capacity; using it too early violates the operator's order.
 */
export const unconfirmedKeyTtlMs = 10_000;

/**
 * Time for which an evacuation is ignored after a restore of the store if it had been withdrawn before and reappears
 * from the backup, in milliseconds. An evacuation that is ordered again meanwhile must take effect within 5 s.
 */
export const withdrawnEvacuationHoldMs = 4_000;

/**
 * Time for which withdrawn keys and removed servers are remembered, in milliseconds: much longer than the age of any
 * backup that is restored.
 */
export const tombstoneRetentionMs = 120_000;

/** Number of relays that may fail one after the other before a gateway reads the store itself. */
export const maxRelayAttempts = 2;

/** Time for which a gateway reads the store itself after its relays failed or a peer last asked it, in milliseconds. */
export const directStoreReadMs = 4_000;

/** Number of deletions kept for followers: some minutes of changes in a fleet with thousands of servers. */
export const maxRetainedDeletions = 2_000;

/** Maximum number of strikes, and of cleared request contents, in one gateway's crash report. */
export const maxReportedContents = 32;
