/** Time to open a connection to a backend server, in milliseconds: a lost packet is sent again within it. */
export const connectTimeoutMs = 300;

/** Time in which a backend server tells its load, in milliseconds; it does so without waiting for a slot. */
export const loadProbeTimeoutMs = 35;

/**
 * Longest such time, for a request that got no answer before: after a start, or while this host gets little of its
 * processor, answers come later than the first limit although every server is well.
 */
export const maxLoadProbeTimeoutMs = 150;

/** An idle connection to a backend server is closed after this long, or a little before the server says it would. */
export const idleConnectionTimeoutMs = 8_000;

/** Idle connections kept to one backend server: some to ask on while requests on the others have ended just now. */
export const maxIdleConnectionsPerServer = 4;

/** How long after an answer on it a connection may be taken for a request that must not run twice, in milliseconds. */
export const recentProbeMs = 50;

/** How long no request has ended on a connection that is taken for one that must not run twice, in milliseconds. */
export const minQuietMs = 400;

/** Largest body of a request that is read before anything is sent; a larger one is streamed and sent once. */
export const maxBufferedBodyBytes = 1_048_576;

/** Largest answer that is held until it is known to be whole; of a larger one the caller gets the bytes as they come. */
export const maxBufferedResponseBytes = 262_144;

/** Pause between two calls of the store's watch that brought changes, so that changes come in batches. */
export const watchBatchDelayMs = 250;

/**
 * Longest time that the store holds a watch open, and the time beyond it in which the answer must come, in milliseconds. Nothing else finds
 * out a connection that went silent while cheap readings are old, and a change must be in force after 2 s.
 */
export const watchLongPollMs = 1_000;
export const watchLongPollGraceMs = 500;

/** Pauses after a failed write to the store: doubled from the first to the last, each drawn from half to the whole. */
export const initialStoreBackoffMs = 150;
export const maxStoreBackoffMs = 800;

/** How long the answer to a probe of a store that was lost is waited for, in milliseconds. */
export const storeProbeTimeoutMs = 600;

/**
 * From one probe to the next, in milliseconds. A change that is acknowledged at the store's return must be in force after 2 s, and with
 * the time for which lapsed entries are believed, it is below three seconds, after which a server that left must get nothing.
 */
export const storeProbePeriodMs = 1_000;

/** Shortest time between two probes where other gateways ask meanwhile, in milliseconds: they may have found the store again. */
export const minStoreProbePeriodMs = 250;

/** Longest pause after a failed registration, in milliseconds: doubled up to it with each failure. */
export const maxRegistrationBackoffMs = 3_200;

/** Life of a gateway's registration without renewal: longer than outages of the store that change nothing else. */
export const registrationTtlMs = 15_000;

/** Renewals in one life of a registration. */
export const renewalsPerTtl = 3;

/**
 * Time over which a fleet writes its registrations and crash reports again after the store came back from an older copy, in milliseconds:
 * hundreds of gateways at once would go beyond its rates.
 */
export const rewriteSpreadMs = 2_500;

/** How often what was believed for a limited time is looked at. */
export const expiryCheckPeriodMs = 100;

/** Connections of callers held at once; the host's other descriptors are for backend servers. */
export const maxCallerConnections = 2_500;

/** Largest request head that is parsed at all; the configuration's own limit is checked on what was parsed. */
export const maxRequestHeadBytes = 131_072;

/** Time in which a caller must have sent a whole request, its body included. */
export const requestTimeoutMs = 30_000;

/** How long callers' idle connections are kept before the configuration says how long. */
export const initialKeepAliveMs = 15_000;

/** Share of a planned stop in which new connections are still taken, until the balancer has noticed. */
export const stopAcceptShare = 0.5;

/** Time at the end of a planned stop that is kept for the last answers to go out. */
export const stopMarginMs = 350;

/** Shortest planned stop: the balancer asks once a second and gives up after two misses. */
export const balancerDetectionMs = 2_300;

/** How often a stopping process looks whether nothing is in flight any more. */
export const stopPollPeriodMs = 50;

/** Lines a second of one kind in the log; what is above is counted and said in the next second. */
export const maxLogLinesPerSecond = 40;

/** Bytes that the log may hold while its reader is slow; more lines are left out and counted. */
export const maxLogBufferBytes = 262_144;

/**
 * How long a gateway that reads the store holds another's question open for changes, in milliseconds. One that stands still
 * or is cut off is found out this long and the slack after; with the time of a second question that is 1.3 s, and changes
 * must be in force after 2 s.
 */
export const relayLongPollMs = 600;

/** Time beyond the wait in which an answer must come: what a busy host takes for a turn, twice. */
export const relayLongPollGraceMs = 350;

/**
 * Gateways that are asked whether the store was away, and the pause until others are asked where none could say. With a third of the
 * hosts cut off, one of four is in touch in 80 of 81 draws.
 */
export const outageQueryPeers = 4;
export const outageQueryDelayMs = 250;

/**
 * Largest answer with changes that a gateway passes on, in bytes. Dozens of larger ones take seconds on a slow host's link, while each gateway
 * gets one from the store within a fraction of that.
 */
export const maxRelayedChangesBytes = 24_576;

/** How long a gateway asks the store itself for changes that are too large to be passed on, in milliseconds. */
export const directWatchMs = 1_500;

/** Time in which another gateway must answer a question that doesn't wait. */
export const catchUpTimeoutMs = 300;

/**
 * How often a gateway that watches the store checks that its watch is alive, and how long the check may take. The watch alone would
 * find a cut out after three seconds, and this gateway and all that ask it would be as late.
 */
export const watchCheckPeriodMs = 500;
export const watchCheckTimeoutMs = 400;

/** Time in which a watch that is alive brings a change that a check has seen, in milliseconds. */
export const maxWatchLagMs = 60;

/** Difference between the two clocks' steps from which this host is taken to have stood still, in milliseconds. */
export const hostPauseThresholdMs = 700;

/** Wait of a gateway that is the first of its fleet, as far as it knows, for the others to register, in milliseconds. */
export const initialWatchDelayMs = 1_200;

/** How often a gateway looks at open roll-outs, in milliseconds. */
export const rolloutCheckPeriodMs = 250;

/** Time in which a roll-out's coordinator must answer a report, in milliseconds. */
export const rolloutReportTimeoutMs = 400;

/** Largest report on a roll-out that is read, in bytes. */
export const maxRolloutReportBytes = 65_536;

/** Age of the store's word up to which a route that it doesn't have doesn't exist, in milliseconds: so long a new one takes to be in force. */
export const maxNotFoundStalenessMs = 2_000;

/** Servers that are asked over new connections in one round of checks whether a service is reached again. */
export const reachabilityCheckServers = 3;

/** From one round to the next, and the time for each question, in milliseconds. */
export const reachabilityCheckPeriodMs = 250;
export const reachabilityCheckTimeoutMs = 150;

/** Age up to which an answer of a server shows that its service is reached, in milliseconds. */
export const maxReachabilityAgeMs = 250;

/** Gateways that are asked at once whether they reach a service, and how many times in a row others are where none does. */
export const reachabilityQueryPeers = 4;
export const maxReachabilityQueries = 3;

/** Time to connect to a gateway that is asked, and for its whole answer: it may ask servers first. In milliseconds. */
export const reachabilityConnectTimeoutMs = 150;
export const reachabilityQueryTimeoutMs = 300;

/** Time to connect to a gateway that a request is handed to, in milliseconds. */
export const handoverConnectTimeoutMs = 150;

/** Gateways that one request is handed to, one after the other, at most. */
export const maxHandoverAttempts = 4;

/** Requests of other gateways that are under way here at once, at most: beyond them this gateway's own callers would wait. */
export const maxIncomingHandovers = 64;

/** Largest head of another gateway's request: a caller's head and what is added to it, in bytes. */
export const maxHandoverHeadBytes = maxRequestHeadBytes + 16_384;

/** Other servers that are tried where one refuses connections after it lost a request, and how few of them say nothing. */
export const maxComparisonServers = 3;
export const minComparisonServers = 2;
