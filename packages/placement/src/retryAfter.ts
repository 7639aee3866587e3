import { type RandomSource } from "@galenaglade/routing";
import { maxTurnedAwayRetryMs, minTurnedAwayRetryMs } from "./constants.js";

/** Why a caller is asked to come back. */
export type RefusalCause = "turnedAway" | "full" | "resting" | "noServer" | "unread";

/** Longest times to come back by cause; the shortest is a third of them. In milliseconds. */
const longestMs: Readonly<Record<Exclude<RefusalCause, "turnedAway" | "full" | "resting">, number>> = {
    // A server that is back, or news of one, takes the store's and the registration's time: some hundred milliseconds.
    noServer: 900,
    // A gateway that has just started reads the store within a tenth of a second, and others have.
    unread: 120,
};

/**
 * Chooses when a refused caller should come back. Callers that come back together make the load that refused them once
 * more, so the time is drawn: over the typical time of the work where all slots are taken, since so long it takes until
 * each slot came free once; shortly where servers merely turned the request away although they had room; and over half of
 * that time from the end of a rest on.
 *
 * @param cause - why it was refused
 * @param typicalMs - typical time of the service's work
 * @param random - draws the time
 * @returns seconds, with fractions
 */
export function drawRetryAfterSeconds(cause: RefusalCause, typicalMs: number, random: RandomSource): number {
    switch (cause) {
        case "turnedAway":
            return draw(minTurnedAwayRetryMs, maxTurnedAwayRetryMs, random);
        case "full":
            return draw(typicalMs * 0.5, typicalMs * 1.5, random);
        case "resting":
            return draw(0, typicalMs * 0.5, random);
        default:
            return draw(longestMs[cause] / 3, longestMs[cause], random);
    }
}

function draw(fromMs: number, toMs: number, random: RandomSource): number {
    return Math.round(fromMs + (toMs - fromMs) * random.next()) / 1_000;
}
