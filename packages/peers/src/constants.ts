/** Maximum body size of a call with a configuration, in bytes: the store's maximum value size, plus the roster. */
export const maxOfferBytes = 1_500_000;
/** Maximum size of a response in bytes: an offer, or observations of the maximum number of servers. */
export const maxResponseBytes = 1_500_000;
/** Maximum number of backend servers in a response; about 800,000 bytes if all names have the maximum length. */
export const maxObservedServers = 2_000;
/** Maximum body size of any other call, in bytes. */
export const maxCallBytes = 300_000;
/** Maximum number of connections at the peer port; a fleet of 15 gateways with two admin calls each uses about 45. */
export const maxPeerConnections = 256;
/** Timeout for a call's headers, in milliseconds. */
export const headersTimeoutMs = 2_000;
/** Timeout for a whole call with its body, in milliseconds. */
export const requestTimeoutMs = 5_000;
/** Time until a connection without calls is closed, in milliseconds; longer than the interval between heartbeats. */
export const idleConnectionTimeoutMs = 30_000;
/** Interval between checks for calls that exceed their timeout, in milliseconds. */
export const connectionsCheckIntervalMs = 1_000;
/** Interval between ticks of a gateway's state machine, in milliseconds. */
export const tickMs = 100;
/** Time for which the store holds a watch open if nothing changes, in milliseconds. */
export const watchWaitMs = 20_000;
/** Time beyond {@link watchWaitMs} after which a watch without a response has failed, in milliseconds. */
export const watchTimeoutMarginMs = 5_000;
/** Delay after a failed watch, in milliseconds. */
export const watchRetryMs = 1_000;
/** Interval between rounds of offers, in milliseconds. */
export const offerIntervalMs = 250;
/** Interval between reads of the store during the wait for a change, in milliseconds. */
export const surveyIntervalMs = 1_000;
/** Delay between attempts of a write whose response was lost, in milliseconds. */
export const writeRetryMs = 200;
/** Number of random bytes in the incarnation of a process; kept short because every heartbeat has it. */
export const incarnationBytes = 8;
