/** Timeout for connecting to a backend server, in milliseconds; leaves time to retransmit one lost packet. */
export const connectTimeoutMs = 300;

/**
 * Initial timeout for a load probe, in milliseconds. It can be short because a backend server reports its load without
 * waiting for a free slot.
 */
export const loadProbeTimeoutMs = 35;

/**
 * Maximum timeout for a load probe, in milliseconds. It applies to a request whose earlier probes all timed out: after
 * a start, or while this host gets little CPU time, responses arrive after the initial timeout although the servers are
 * healthy.
 */
export const maxLoadProbeTimeoutMs = 150;

/**
 * Idle timeout of a connection to a backend server, in milliseconds. If the server announces a shorter keep-alive
 * timeout, the connection is closed shortly before that.
 */
export const idleConnectionTimeoutMs = 8_000;

/**
 * Maximum number of idle connections kept to one backend server. More than one, so that load probes have a connection
 * while requests on the others have only just finished.
 */
export const maxIdleConnectionsPerServer = 4;

/**
 * Maximum time since the last load probe on a pooled connection that may carry a non-idempotent request, in
 * milliseconds.
 */
export const recentProbeMs = 50;

/**
 * Minimum time since the last request finished on a pooled connection that may carry a non-idempotent request, in
 * milliseconds.
 */
export const minQuietMs = 400;

/**
 * Maximum size of a request body after which the connection to the server is used again. A server may respond before it
 * has read the body; of a larger one, the rest may still be on its way, and requests behind it would wait for it.
 */
export const maxReusedBodyBytes = 65_536;

/** Maximum size of a request body that is buffered before sending; a larger body is streamed and sent only once. */
export const maxBufferedBodyBytes = 1_048_576;

/**
 * Maximum size of a response that is buffered until it is complete; a larger response is streamed to the caller as it
 * arrives.
 */
export const maxBufferedResponseBytes = 262_144;

/** Delay after a store watch returned changes until the next watch call, so that changes are received in batches. */
export const watchBatchDelayMs = 250;

/**
 * Time for which the store holds a watch call open, and the additional time allowed for its response, in milliseconds.
 * While cheap reads return old data, this is the only way to detect a silent connection, and a change must be in force
 * after 2 s.
 */
export const watchLongPollMs = 1_000;
export const watchLongPollGraceMs = 500;

/**
 * Initial and maximum back-off after a failed write to the store, in milliseconds: doubled with each failure, with a
 * random jitter between half and all of it.
 */
export const initialStoreBackoffMs = 150;
export const maxStoreBackoffMs = 800;

/** Timeout for a probe of an unavailable store, in milliseconds. */
export const storeProbeTimeoutMs = 600;

/**
 * Interval between probes of an unavailable store, in milliseconds. A change acknowledged when the store returns must
 * be in force after 2 s. Together with the time for which lapsed entries stay valid, the interval is below 3 s, after
 * which a server that left must not receive requests.
 */
export const storeProbePeriodMs = 1_000;

/**
 * Minimum interval between store probes while other gateways ask for the store's state, in milliseconds; those may
 * already have reached the store again.
 */
export const minStoreProbePeriodMs = 250;

/** Maximum back-off after a failed registration, in milliseconds; the back-off doubles with each failure. */
export const maxRegistrationBackoffMs = 3_200;

/**
 * Time to live of a gateway's registration without renewal, in milliseconds; longer than a store outage that must not
 * change anything else.
 */
export const registrationTtlMs = 15_000;

/** Number of renewals within the time to live of a registration. */
export const renewalsPerTtl = 3;

/**
 * Period over which the gateways of a fleet spread rewriting their registrations and crash reports after the store was
 * restored from a backup, in milliseconds. Hundreds of gateways writing at once would exceed the store's rate
 * limits.
 */
export const rewriteSpreadMs = 2_500;

/** Interval between checks for expired state, in milliseconds. */
export const expiryCheckPeriodMs = 100;

/**
 * Maximum number of open caller connections; the remaining file descriptors of the host are reserved for backend
 * servers.
 */
export const maxCallerConnections = 2_500;

/** Maximum size of a request head that the HTTP parser accepts; the configured limit is checked after parsing. */
export const maxRequestHeadBytes = 131_072;

/** Time within which a caller must send a whole request, including its body, in milliseconds. */
export const requestTimeoutMs = 30_000;

/** Keep-alive timeout for idle caller connections until the configuration sets one, in milliseconds. */
export const initialKeepAliveMs = 15_000;

/** Maximum share of the grace period of a planned stop during which new connections are accepted. */
export const stopAcceptShare = 0.5;

/**
 * Time from the signal of a planned stop after which arriving requests are refused, and its maximum share of the grace
 * period. Only requests sent within 3 s may still be at work when the grace period ends.
 */
export const maxStopAdmissionMs = 3_000;
export const stopAdmitShare = 0.6;

/**
 * Time before the end of the grace period at which requests that are still at work are broken off, in milliseconds, and
 * its maximum share of the grace period. No request may be broken off before the last sixth.
 */
export const maxStopMarginMs = 700;
export const stopMarginShare = 1 / 8;

/** Share of that time that is left when the process ends, for timers that fire late. */
export const stopEndShare = 0.6;

/** Factor of a service's typical latency that must be left for a send during a planned stop. */
export const stopLatencyFactor = 2;

/**
 * Time for which a connection must have been idle to be closed during a planned stop, in milliseconds: its last response
 * has reached the caller by then.
 */
export const minStopIdleMs = 250;

/** Time without a new connection after which none is waiting to be accepted, in milliseconds. */
export const acceptQuietMs = 100;

/**
 * Time for which a stopping gateway continues to accept connections, in milliseconds, until the balancer no longer
 * sends callers: it checks readiness once a second and removes a gateway after two failures.
 */
export const balancerDetectionMs = 2_300;

/** Interval at which a stopping process checks whether requests are still in flight, in milliseconds. */
export const stopPollPeriodMs = 50;

/**
 * Maximum number of log lines of one kind per second; further lines are dropped, and their number is logged in the next
 * second.
 */
export const maxLogLinesPerSecond = 40;

/** Maximum size of buffered log output while its reader is slow; further lines are dropped and counted. */
export const maxLogBufferBytes = 262_144;

/**
 * Time for which a gateway that reads the store holds a long poll of another gateway open, in milliseconds. A relay
 * that is suspended or unreachable is detected after this time and the grace period; with one poll of another relay
 * this takes 1.3 s, and changes must be in force after 2 s.
 */
export const relayLongPollMs = 600;

/**
 * Additional time after the long-poll timeout within which a response must arrive, in milliseconds: twice the duration
 * of an event-loop turn on a busy host.
 */
export const relayLongPollGraceMs = 350;

/**
 * Number of gateways asked at once whether the store was unavailable, and the delay until others are asked if none of
 * these knows, in milliseconds. With a third of the hosts cut off, at least one of four random gateways is reachable in
 * 80 of 81 cases.
 */
export const outageQueryPeers = 4;
export const outageQueryDelayMs = 250;

/**
 * Maximum size of a response with changes that a gateway relays to others. Dozens of larger responses take seconds on
 * the link of a slow host, while each gateway reads them from the store within a fraction of that time.
 */
export const maxRelayedChangesBytes = 24_576;

/** Time for which a gateway watches the store itself after changes were too large to be relayed, in milliseconds. */
export const directWatchMs = 1_500;

/** Timeout for a request to another gateway that is answered without a long poll, in milliseconds. */
export const catchUpTimeoutMs = 300;

/**
 * Interval at which a gateway that watches the store checks that the watch still delivers changes, and the timeout of
 * one check, in milliseconds. The watch alone would detect a lost connection only after three seconds, delaying this
 * gateway and all gateways that it relays changes to.
 */
export const watchCheckPeriodMs = 500;
export const watchCheckTimeoutMs = 400;

/** Time within which a working watch must deliver a change that a check has read, in milliseconds. */
export const maxWatchLagMs = 60;

/**
 * Difference between the progress of two clocks above which this host is considered to have been suspended, in
 * milliseconds.
 */
export const hostPauseThresholdMs = 700;

/**
 * Delay before the first watch of a gateway that knows of no other gateways in its fleet, so that others can register,
 * in milliseconds.
 */
export const initialWatchDelayMs = 1_200;

/** Interval at which a gateway evaluates open rollouts, in milliseconds. */
export const rolloutCheckPeriodMs = 250;

/** Timeout for a report to the coordinator of a rollout, in milliseconds. */
export const rolloutReportTimeoutMs = 400;

/** Maximum size of a report on a rollout that is read. */
export const maxRolloutReportBytes = 65_536;

/**
 * Maximum age of the state read from the store at which a missing route is answered as not found, in milliseconds; a
 * new route takes this long to be in force.
 */
export const maxNotFoundStalenessMs = 2_000;

/** Number of servers probed over new connections in each round of checks whether a service is reachable again. */
export const reachabilityCheckServers = 3;

/** Interval between rounds of reachability checks, and the timeout of each probe, in milliseconds. */
export const reachabilityCheckPeriodMs = 250;
export const reachabilityCheckTimeoutMs = 150;

/** Maximum age of a server's response that proves its service reachable, in milliseconds. */
export const maxReachabilityAgeMs = 250;

/**
 * Number of gateways asked at once whether they reach a service, and the maximum number of rounds with different
 * gateways when none does.
 */
export const reachabilityQueryPeers = 4;
export const maxReachabilityQueries = 3;

/**
 * Timeout for connecting to a gateway that is asked whether it reaches a service, and for its whole response, in
 * milliseconds; the gateway may probe servers before it responds.
 */
export const reachabilityConnectTimeoutMs = 150;
export const reachabilityQueryTimeoutMs = 300;

/** Timeout for connecting to a gateway that a request is handed over to, in milliseconds. */
export const handoverConnectTimeoutMs = 150;

/** Maximum number of gateways that one request is handed over to, one after the other. */
export const maxHandoverAttempts = 4;

/**
 * Maximum number of requests from other gateways that this gateway handles at once; more would delay its own callers.
 */
export const maxIncomingHandovers = 64;

/**
 * Maximum size of the head of a request handed over by another gateway: the caller's head and the headers added to it.
 */
export const maxHandoverHeadBytes = maxRequestHeadBytes + 16_384;

/**
 * Maximum number of other servers that are checked when a server refuses connections after it lost a request, and the
 * minimum number needed to draw a conclusion.
 */
export const maxComparisonServers = 3;
export const minComparisonServers = 2;

/** Maximum time for which a stopping process waits until its log has been written, in milliseconds. */
export const maxLogFlushMs = 100;

/** Maximum size of a response of another gateway, in bytes; relayed changes are the largest. */
export const maxPeerResponseBytes = 262_144;

/** Maximum size of the body of a response to a load probe, in bytes; the report is in its headers. */
export const maxProbeBodyBytes = 16_384;
