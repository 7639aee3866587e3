/** Maximum attempts of a zone change that conflicts with concurrent changes. */
export const maxZoneChangeAttempts = 16;

/** Maximum configuration size as JSON, in bytes: the store's limit of 1 MiB per value, less room for metadata. */
export const maximumConfigurationBytes = 1_000_000;

/** Time within which a new connection must carry an authenticated call, and a call its complete message. */
export const requestTimeoutMs = 10_000;

/** Idle timeout of connections without calls. */
export const idleTimeoutMs = 60_000;

/** Maximum concurrent calls on one HTTP/2 connection. */
export const maximumStreamsPerConnection = 32;

/** Maximum size of a request's headers, in bytes. */
export const maximumHeaderBytes = 16_384;

/** Maximum timeout that a client may request for a call. A watch has no timeout. */
export const maximumCallTimeoutMs = 3_600_000;

/** Maximum staleness of a watcher's view if the store reports no change: a store watch can stall without an error. */
export const watchRefreshPeriodMs = 10_000;

/** Delay before a standing that isn't in force or couldn't be read is read again. */
export const watchRetryDelayMs = 1_000;

/** Idle time before the kernel sends the first TCP keep-alive probe. */
export const tcpKeepAliveIdleMs = 30_000;
