import { type RandomSource } from "@galenaglade/routing";
import { maxTurnedAwayRetryMs, minTurnedAwayRetryMs } from "./constants.js";

/** Why a request was rejected. */
export type RefusalCause = "turnedAway" | "full" | "resting" | "noServer" | "unread";

/** Maximum Retry-After by cause in milliseconds; the minimum is a third of it. */
const maxRetryAfterMs: Readonly<Record<Exclude<RefusalCause, "turnedAway" | "full" | "resting">, number>> = {
    // Registration of a returning server and its propagation through the store take some hundred milliseconds.
    noServer: 900,
    // A gateway that has just started reads the store within 100 ms, and other gateways have read it already.
    unread: 120,
};

/**
 * Draws the Retry-After of a rejected request. The time is random, because callers that retry together would recreate
 * the overload that rejected them. If all slots are taken, it spans the typical latency, within which each slot becomes
 * free once. If servers rejected the request although they had spare capacity, it is short. If servers asked for a
 * back-off, it spans half of the typical latency from the end of the back-off.
 *
 * @param cause - why the request was rejected
 * @param typicalLatencyMs - typical latency of the service in milliseconds
 * @param random - source of randomness
 * @returns fractional seconds
 */
export function drawRetryAfterSeconds(cause: RefusalCause, typicalLatencyMs: number, random: RandomSource): number {
    switch (cause) {
        case "turnedAway":
            return draw(minTurnedAwayRetryMs, maxTurnedAwayRetryMs, random);
        case "full":
            return draw(typicalLatencyMs * 0.5, typicalLatencyMs * 1.5, random);
        case "resting":
            return draw(0, typicalLatencyMs * 0.5, random);
        default:
            return draw(maxRetryAfterMs[cause] / 3, maxRetryAfterMs[cause], random);
    }
}

function draw(fromMs: number, toMs: number, random: RandomSource): number {
    return Math.round(fromMs + (toMs - fromMs) * random.next()) / 1_000;
}
