/** TTL of the lease under which a gateway holds its permits; it is renewed after a third of the TTL. */
export const leaseTtlMs = 6_000;

/** Interval between lease renewals. */
export const leaseRenewalPeriodMs = 2_000;

/** Time after which a reply of the store is considered lost. */
export const storeReplyTimeoutMs = 1_500;

/** Time without a heartbeat exchange with a majority after which a gateway sends no requests. */
export const contactTimeoutMs = 1_500;

/** Time after a loss of contact during which it is likely to be regained at once, as after a process pause. */
export const contactRecoveryMs = 1_500;

/** Allowance for clocks that run at different rates, over the longest of the durations above. */
export const clockDriftAllowanceMs = 250;

/**
 * Delay of a change between authority by lease and authority by roster, in either direction. The last contact of the
 * gateway that used the one must have expired before another gateway uses the other.
 */
export const authorityChangeDelayMs = contactTimeoutMs + clockDriftAllowanceMs;

/** Time that a backend server may take to stop a request that was cancelled or is past its deadline. */
export const cancellationGraceMs = 1_000;

/** Delay before another attempt to claim a permit that is held by another gateway, or whose store call failed. */
export const permitRetryDelayMs = 1_000;

/** How long heartbeats repeat a signal, so that it arrives even if some of them are lost. */
export const signalRepeatDurationMs = 10_000;

/** Ratio to the average latency above which the first response after an idle period indicates a cold server. */
export const coldLatencyFactor = 10;

/** Time without responses after which the latency of the next one is checked for a cold server. */
export const latencyCheckIdleMs = 10_000;

/** Minimum horizon of a permit record, in milliseconds; larger horizons are this value doubled repeatedly. */
export const minHorizonMs = 1_000;

/** Maximum horizon of a permit record, in milliseconds: the first one that covers a patience of a day. */
export const maxHorizonMs = minHorizonMs * 2 ** 17;

/** Maximum delay of the state that health and load endpoints report. */
export const maxReportLagMs = 5_000;

/** How long a permit is kept after the last request for its server. */
export const permitIdleTimeoutMs = 5_000;

/** Maximum number of repeated `warm` signals in one heartbeat. */
export const maxWarmSignalsPerHeartbeat = 32;

/** How long gateways that left the roster are remembered; no configurable patience is longer. */
export const departureRetentionMs = 86_400_000 + 60_000;

/** Time after the last report of leaving until a health report without an incarnation counts as the server's return. */
export const leavingRecoveryMs = 30_000;
