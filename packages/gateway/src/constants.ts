/** Header to backend servers with what is left of the caller's patience, in milliseconds. */
export const deadlineHeader = "x-deadline-ms";

/** Header by which a backend server says how many requests it has in flight. */
export const backendInFlightHeader = "x-backend-in-flight";

/** Every header with this prefix is between backend servers and the gateway; callers never see it. */
export const backendHeaderPrefix = "x-backend-";

/** Time to open a connection to a backend server; they take about 1 ms, so that a second means it is gone. */
export const connectTimeoutMs = 1_000;

/** An idle connection to a backend server is closed after this long, before most servers close it themselves. */
export const idleConnectionTimeoutMs = 4_000;

/** Idle time after which the system asks the other end of a connection whether it is there; then ten times, a second apart. */
export const tcpKeepAliveIdleMs = 5_000;

/** A request whose caller waits longer than this gets a connection of its own, opened for it. */
export const dedicatedConnectionPatienceMs = 10_000;

/** Connections that one gateway holds to one backend server: 15 gateways share about 200. */
export const maxConnectionsPerServer = 12;

/** Largest body that is read before anything is sent; a larger one is streamed and sent once. */
export const maxBufferedBodyBytes = 1_048_576;

/** How often claims that wait for the platform's store are looked at. */
export const claimCheckPeriodMs = 50;

/** When to come back after a connection was lost, for whoever may safely send the request again. */
export const connectionLossRetryAfterSeconds = 1;

/** Tries of one request, the first included. */
export const maxAttempts = 3;

/** Expected time of a request before any was measured. */
export const initialServiceTimeMs = 5;

/** Weight of the newest request in the average time of a service's requests. */
export const serviceTimeEwmaWeight = 0.1;

/** The routing policy that goes where nothing else is said. */
export const defaultRoutingPolicy = "expectedInFlight";

/** How often own in-flight counts are handed to the fleet's heartbeats. */
export const loadPublishPeriodMs = 250;

/** Share of traces begun here that are recorded; a caller's own decision goes before it. */
export const traceSampleRatio = 0.001;

/** How long a caller's idle connection is kept: balancers let go of theirs after a minute at the latest. */
export const callerKeepAliveMs = 75_000;

/** Share of the requests that go to a cold server first, where this gateway may warm one up. */
export const warmUpProbability = 0.25;
