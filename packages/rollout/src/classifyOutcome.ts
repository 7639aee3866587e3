import { countsAsServerFailure, type SendEnd } from "@galenaglade/placement";
import { slowFactor } from "./constants.js";

/** Outcome of the first send of a request. */
export interface SendOutcome {
    readonly end: SendEnd;
    readonly tookMs: number;
    /** Typical processing time of the service. */
    readonly typicalMs: number;
    /** Slowdown factor that was expected from the load of the server. */
    readonly factor: number;
    /** Whether the send was cancelled because a hedge to a second server answered first. */
    readonly beaten: boolean;
}

/**
 * Classifies an outcome for the comparison of two versions.
 *
 * @param outcome - outcome of the send
 * @returns whether it counts against the version of the server; `undefined` if it tells nothing about the version
 */
export function classifyOutcome({ end, tookMs, typicalMs, factor, beaten }: SendOutcome): boolean | undefined {
    const isSlow = tookMs > typicalMs * Math.max(1, factor) * slowFactor;
    switch (end.type) {
        case "answered":
            return countsAsServerFailure(end) || isSlow;
        case "unknown":
            return true;
        case "abandoned":
            return isSlow || beaten ? true : undefined;
        case "notRun":
            // Servers of both versions stop, restart and fill up; the request reached neither version.
            return undefined;
    }
}
