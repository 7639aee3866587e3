import { type RandomSource } from "@galenaglade/routing";
import { maxSavedTrials, trialShareOfExposure } from "./constants.js";

/**
 * Limits the requests of a service that go to a version on trial. Each gateway sends the same share of its own
 * requests, which bounds the share over the whole fleet without coordination, however the gateways' rosters differ. A
 * gateway starts with a random fraction of one credit. With a few requests per second and gateway, all gateways would
 * otherwise start the trial seconds late, or all at once.
 */
export class TrialAllowance {
    readonly #shareOfRequests: number;
    readonly #random: RandomSource;
    #credit: number;

    /**
     * @param exposureShare - maximum share of the requests of a service that an unproved version may get
     * @param random - draws the initial credit
     */
    constructor(exposureShare: number, random: RandomSource) {
        this.#shareOfRequests = exposureShare * trialShareOfExposure;
        this.#random = random;
        this.#credit = this.#random.next();
    }

    /** A request was sent to a server of the service, of any version. */
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
