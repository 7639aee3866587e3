/** Share of successes that is added to the retry budget. */
export const retriesPerSuccess = 0.1;

/** Retries that may be saved up, so that a short fault after a calm stretch is ridden out. */
export const maxSavedRetries = 20;

/** Most requests that wait for a slot of one service at one gateway. */
export const maxQueueLength = 64;
