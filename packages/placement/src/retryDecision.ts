import { maxSends } from "./constants.js";

/** How one send of a request ended. */
export type SendEnd =
    /** A whole answer of the server's to this very request. */
    | { readonly type: "answered"; readonly status: number; }
    /** It has not run there and never will. */
    | { readonly type: "notRun"; readonly reason: NotRunReason; }
    /** Nobody can say whether it ran. */
    | { readonly type: "unknown"; readonly reason: UnknownRunReason; }
    /** Given up from here. */
    | { readonly type: "abandoned"; };

/** Why a request is known not to have run. */
export type NotRunReason = "connectFailed" | "notSent" | "turnedAway" | "otherServer";
/** Why it is not known whether a request ran. */
export type UnknownRunReason =
    | "connectionLost"
    | "notAnAnswer"
    | "otherRequestsAnswer"
    | "cutShort"
    | "notSigned"
    | "encoded";

const firstServerErrorStatus = 500;

/** What decides over another try. */
export interface RetryInput {
    readonly idempotent: boolean;
    /** Whether the body can be sent once more. */
    readonly isBodyReplayable: boolean;
    readonly maximumRuns: number;
    /** Ends of all sends so far. */
    readonly ends: readonly SendEnd[];
    /** Sends that are still under way. */
    readonly inFlight: number;
}

/**
 * Decides whether a request may be sent again after its latest send has ended. A non-idempotent request is sent again
 * only where no send of it can have run; any request only while its possible runs are fewer than its route allows.
 *
 * @param input - what decides
 */
export function isRetryAllowed(input: RetryInput): boolean {
    const { ends, inFlight } = input;
    if (!input.isBodyReplayable || ends.length + inFlight >= maxSends) {
        return false;
    }
    const possibleRuns = inFlight + ends.filter(end => end.type !== "notRun").length;
    if (!input.idempotent) {
        return possibleRuns === 0;
    }
    return possibleRuns < input.maximumRuns;
}

/** @returns whether an answer is the server's own failure, which another server may not have */
export function isServerError(end: SendEnd): boolean {
    return end.type === "answered" && end.status >= firstServerErrorStatus;
}

/** @returns whether the server may have ended with the request: its connection did, before the answer was whole */
export function isPossibleServerCrash(end: SendEnd): boolean {
    return end.type === "unknown" && (end.reason === "connectionLost" || end.reason === "cutShort");
}

/** @returns whether the end says something against its server */
export function countsAsServerFailure(end: SendEnd): boolean {
    return end.type === "unknown" || isServerError(end)
        || (end.type === "notRun" && end.reason === "connectFailed");
}
