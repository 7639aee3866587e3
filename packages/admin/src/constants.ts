/** How often a zone change is tried again when other changes keep getting in first. */
export const maxZoneChangeAttempts = 16;

/** Largest configuration that is taken, as JSON: the store's value of one megabyte less room for what stands beside it. */
export const maximumConfigurationBytes = 1_000_000;

/** Time in which a new connection must have brought a call with the key, and a call its whole message. */
export const requestTimeoutMs = 10_000;

/** Time after which a connection without calls is closed. */
export const idleTimeoutMs = 60_000;

/** Calls at the same time on one HTTP/2 connection. */
export const maximumStreamsPerConnection = 32;

/** Size of a request's headers. */
export const maximumHeaderBytes = 16_384;

/** Longest deadline that a caller may ask for; a watch has none. */
export const maximumCallTimeoutMs = 3_600_000;

/** How long a watcher's view may lag when the store announces nothing: a watch can go silent for good. */
export const watchRefreshPeriodMs = 10_000;

/** How soon a standing that is not in force, or could not be read, is looked at again. */
export const watchRetryDelayMs = 1_000;

/** Silence after which the system probes a connection. */
export const tcpKeepAliveIdleMs = 30_000;
