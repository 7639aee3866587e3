/** Timeout of one call in milliseconds; longer than the admin server waits for a change to be in force. */
export const callTimeoutMs = 30_000;

/** Maximum number of attempts for a call that gets no response, including the first. */
export const maxCallAttempts = 5;

/** Delay before a retry if the failure carries no retry-after time, in milliseconds. */
export const retryDelayMs = 1_000;

/** Maximum delay before a retry, also if the failure carries a longer retry-after time, in milliseconds. */
export const maxRetryDelayMs = 10_000;

/** Interval of HTTP/2 pings on an idle connection while a call is pending, in milliseconds. */
export const pingIntervalMs = 10_000;

/** Names of the environment variables that provide defaults for options. */
export const environmentVariables = Object.freeze({ admin: "GALENAGLADE_ADMIN", keyFile: "GALENAGLADE_KEY_FILE" });
