import * as z from "zod";

/** Longest time that a gateway tells another one, in milliseconds. Sums and differences of such times stay exact. */
const maxDurationMs = 1e12;
const maxRetryAfterSeconds = 86_400;

/** A position in the store's history. */
export const storePosition = z.number().int().min(0);

/** A version of the configuration. */
export const configVersion = z.number().int().min(0);

/** An age or a duration in milliseconds. */
export const durationMs = z.number().min(0).max(maxDurationMs);

/** The time until a deadline in milliseconds; below 0 if it has passed. */
export const remainingMs = z.number().min(-maxDurationMs).max(maxDurationMs);

/** The time after which a caller is asked to try again, in seconds. */
export const retryAfterSeconds = z.number().min(0).max(maxRetryAfterSeconds);
