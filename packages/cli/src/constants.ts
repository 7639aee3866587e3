/** How long one call may take; longer than the operators' server waits for a change to be in force. */
export const callTimeoutMs = 30_000;

/** How often an unanswered call is sent. */
export const maxCallAttempts = 5;

/** Wait before an unanswered call is sent again, where the failure says no time. */
export const retryDelayMs = 1_000;

/** Longest wait before an unanswered call is sent again, whatever the failure says. */
export const maxRetryDelayMs = 10_000;

/** How often a connection that has nothing to say is checked while a call waits. */
export const pingIntervalMs = 10_000;

/** Environment variables that stand in for options. */
export const environmentVariables = Object.freeze({ admin: "GALENAGLADE_ADMIN", keyFile: "GALENAGLADE_KEY_FILE" });
