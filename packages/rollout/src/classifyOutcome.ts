import { countsAsServerFailure, type SendEnd } from "@galenaglade/placement";
import { slowFactor } from "./constants.js";

/** How one request's first send ended. */
export interface SendOutcome {
    readonly end: SendEnd;
    readonly tookMs: number;
    /** How long the service's work usually takes. */
    readonly typicalMs: number;
    /** How many times longer the server's load let expect. */
    readonly factor: number;
    /** Whether it was given up because a second server answered first. */
    readonly beaten: boolean;
}

/**
 * Judges one answer for the comparison of two versions.
 *
 * @param outcome - how the send ended
 * @returns whether it speaks against the server's version; `undefined` where it says nothing about it
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
            // Servers of both versions end, restart and fill up; the request has met neither version.
            return undefined;
    }
}
