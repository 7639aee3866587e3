/** Lease under which a gateway holds its permits; renewed at a third of it. */
export const leaseTtlMs = 6_000;

/** How often the lease is renewed. */
export const leaseRenewalPeriodMs = 2_000;

/** A reply of the store that takes longer is taken as lost. */
export const storeReplyTimeoutMs = 1_500;

/** A gateway that has not exchanged heartbeats with a majority for this long sends nothing. */
export const contactTimeoutMs = 1_500;

/** How long after contact was lost it is still likely to be regained in a moment, as after a pause of the process. */
export const contactRecoveryMs = 1_500;

/** Allowance for clocks that run at different rates, over the longest of the times above. */
export const clockDriftAllowanceMs = 250;

/**
 * Time that must pass between authority by lease and authority without the store, either way, so that whoever used
 * the one can't have its last contact still count while another uses the other.
 */
export const authorityChangeDelayMs = contactTimeoutMs + clockDriftAllowanceMs;

/** Time that a backend server takes to act on a cancellation or a passed deadline. */
export const cancellationGraceMs = 1_000;

/** Pause before a permit that another gateway holds is asked for again. */
export const permitRetryDelayMs = 1_000;

/** How long a signal is repeated in heartbeats, so that a lost one arrives all the same. */
export const signalRepeatDurationMs = 10_000;

/** An answer this many times slower than usual, and the first after a silence, is a sign of a cold server. */
export const coldLatencyFactor = 10;

/** How long no answer must have come for the next one to be the first after a silence. */
export const latencyCheckIdleMs = 10_000;

/** Smallest horizon written to a permit's record, in milliseconds; larger ones are doublings of it. */
export const minHorizonMs = 1_000;

/** How far behind the health and load endpoints may be. */
export const maxReportLagMs = 5_000;

/** How long after the last request for a server its permit is kept. */
export const permitIdleTimeoutMs = 5_000;

/** Most servers whose warmth one heartbeat tells. */
export const maxWarmSignalsPerHeartbeat = 32;

/** How long gateways that left the roster are remembered: no patience that can be declared is longer. */
export const departureRetentionMs = 86_400_000 + 60_000;

/** How long a server's own endpoint must not have said "leaving" until it is believed to be back. */
export const leavingRecoveryMs = 30_000;
