/** Retries that each success adds to the retry budget. */
export const retriesPerSuccess = 0.1;

/** Capacity of the retry budget; saved retries mask a short fault after a period without failures. */
export const maxSavedRetries = 20;

/** Maximum number of requests that wait for a slot of one service at one gateway. */
export const maxQueueLength = 64;
