/** Request header that gives a backend server the time until the caller's deadline, in milliseconds. */
export const deadlineHeader = "x-deadline-ms";

/** Response header in which a backend server reports how many requests it has in flight. */
export const backendInFlightHeader = "x-backend-in-flight";

/** Headers with this prefix are exchanged between backend servers and the gateway only, and never sent to callers. */
export const backendHeaderPrefix = "x-backend-";

/** Timeout for connecting to a backend server. Connecting takes about 1 ms; after a second the server is gone. */
export const connectTimeoutMs = 1_000;

/** Idle connections to backend servers are closed after this time, before most servers would close them. */
export const idleConnectionTimeoutMs = 4_000;

/** Idle time before the kernel sends the first TCP keep-alive probe; ten probes follow, one second apart. */
export const tcpKeepAliveIdleMs = 5_000;

/** Requests whose caller waits longer than this are sent on a newly opened connection of their own. */
export const dedicatedConnectionPatienceMs = 10_000;

/** Maximum connections from one gateway to one backend server: 15 gateways share about 200. */
export const maxConnectionsPerServer = 12;

/** Largest request body that is buffered before sending. A larger one is streamed and its request is sent only once. */
export const maxBufferedBodyBytes = 1_048_576;

/** How often pending claims of idempotency keys are checked for timeouts and retries. */
export const claimCheckPeriodMs = 50;

/** `Retry-After` for a lost connection, sent to callers that may safely send the request again. */
export const connectionLossRetryAfterSeconds = 1;

/** Maximum attempts per request, including the first. */
export const maxAttempts = 3;

/** Expected service time of a request before any was measured. */
export const initialServiceTimeMs = 5;

/** Weight of the newest sample in a service's moving average of service times. */
export const serviceTimeEwmaWeight = 0.1;

/** Routing policy that is used unless another one is named. */
export const defaultRoutingPolicy = "expectedInFlight";

/** How often this gateway's in-flight counts are passed to the heartbeats. */
export const loadPublishPeriodMs = 250;

/** Sampling ratio of traces that start at this gateway. A sampling decision from the caller takes precedence. */
export const traceSampleRatio = 0.001;

/** Idle timeout of callers' connections: longer than that of load balancers, which is at most a minute. */
export const callerKeepAliveMs = 75_000;

/** Probability that a request goes to a cold backend server when this gateway holds the permit to warm one up. */
export const warmUpProbability = 0.25;

/** Interval at which a planned stop checks whether callers have closed their connections, in milliseconds. */
export const closePollPeriodMs = 20;
