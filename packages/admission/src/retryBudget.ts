import { maxSavedRetries, retriesPerSuccess } from "./constants.js";

/**
 * Limits retries to a share of successes. Without it, a service in trouble gets each request several times over, its
 * load rises as it fails, and it stays down after the cause is gone; with it, the extra load is at most the share.
 */
export class RetryBudget {
    #tokens = maxSavedRetries;

    /** Earns a share of a retry. */
    onSuccess(): void {
        this.#tokens = Math.min(maxSavedRetries, this.#tokens + retriesPerSuccess);
    }

    /** @returns whether a retry may be sent; it is paid for when it may */
    tryTake(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
