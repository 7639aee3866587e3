import { maxSavedRetries, retriesPerSuccess } from "./constants.js";

/**
 * Limits retries to a share of the successful requests. Without a limit, a failing service receives each request
 * several times, so that its load increases and it stays overloaded after the cause is gone (a retry storm). With it,
 * retries add at most that share to the load.
 */
export class RetryBudget {
    #tokens = maxSavedRetries;

    /** Adds {@link retriesPerSuccess} to the budget. */
    onSuccess(): void {
        this.#tokens = Math.min(maxSavedRetries, this.#tokens + retriesPerSuccess);
    }

    /** Withdraws one retry if the budget allows it. @returns whether the retry may be sent */
    tryTake(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
