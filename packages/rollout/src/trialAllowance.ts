import { type RandomSource } from "@galenaglade/routing";
import { maxSavedTrials, trialShareOfExposure } from "./constants.js";

/**
 * Deals out which requests of a service a version on trial gets. Each gateway gives it the same share of its own requests, so
 * that the whole fleet's share is bounded without a message, however rosters differ. A gateway begins with a part of one
 * request that is drawn: with few requests a second each, all would otherwise start seconds late, or all at once.
 */
export class TrialAllowance {
    readonly #shareOfRequests: number;
    readonly #random: RandomSource;
    #credit: number;

    /**
     * @param exposureShare - share of a service's requests that an unproved version may get
     * @param random - draws where this gateway begins
     */
    constructor(exposureShare: number, random: RandomSource) {
        this.#shareOfRequests = exposureShare * trialShareOfExposure;
        this.#random = random;
        this.#credit = this.#random.next();
    }

    /** A request of the service was sent to one of its servers, of whatever version. */
    onSend(): void {
        this.#credit = Math.min(maxSavedTrials, this.#credit + this.#shareOfRequests);
    }

    /** @returns whether a request may go to the version on trial */
    get hasCredit(): boolean {
        return this.#credit >= 1;
    }

    /** A request went to the version on trial. */
    onTrial(): void {
        this.#credit -= 1;
    }
}
