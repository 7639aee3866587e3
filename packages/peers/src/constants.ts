/** Largest body of a call that carries a configuration, in bytes: the store's largest value, and the roster. */
export const maxOfferBytes = 1_500_000;
/** Largest answer that a caller reads, in bytes: an offer, or observations of as many servers as one may name. */
export const maxResponseBytes = 1_500_000;
/** Backend servers that one answer tells of; with the longest names that are allowed, about 800,000 bytes. */
export const maxObservedServers = 2_000;
/** Largest body of any other call, in bytes. */
export const maxCallBytes = 300_000;
/** Connections that the peer port holds open; a fleet of 15 with two admin calls each uses about 45. */
export const maxPeerConnections = 256;
/** How long a caller may take to send a call's headers, and the whole call, in milliseconds. */
export const headersTimeoutMs = 2_000;
export const requestTimeoutMs = 5_000;
/** How long a connection without a call stays open, in milliseconds; longer than between two heartbeats. */
export const idleConnectionTimeoutMs = 30_000;
/** How often overdue calls are looked for, in milliseconds. */
export const connectionsCheckIntervalMs = 1_000;
/** How often the decisions are told that time has passed, in milliseconds. */
export const tickMs = 100;
/** How long a watch waits at the store, in milliseconds. */
export const watchWaitMs = 20_000;
/** Added to a watch's wait before it is given up as silent, in milliseconds. */
export const watchTimeoutMarginMs = 5_000;
/** Pause after a watch failed, in milliseconds. */
export const watchRetryMs = 1_000;
/** Between two rounds of offers, in milliseconds. */
export const offerIntervalMs = 250;
/** Between two reads of the store while a change is waited for, in milliseconds. */
export const surveyIntervalMs = 1_000;
/** Between two tries of a write whose answer was lost, in milliseconds. */
export const writeRetryMs = 200;
/** Length of a process's incarnation, in random bytes; it goes into every heartbeat. */
export const incarnationBytes = 8;
